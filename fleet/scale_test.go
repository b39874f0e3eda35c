package fleet

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/guavagauge/guavagauge/selector"
)

// targetHeapBytes is the share of a node's 256 MB of memory that the
// configuration may use, as entries, objects and snapshot.
const targetHeapBytes = 100 << 20

// targetFleet returns a configuration of the size that the system is designed
// for, with 500 routes and 100 rules, and the secret of each workspace's key. A
// quarter of the workspaces have a label that no other has.
func targetFleet() (c *Config, secrets []string) {
	c = &Config{Owners: []Owner{{Name: "mwakyusa"}, {Name: "mopani"}}}
	meta := func(i int, labels selector.Labels) Meta {
		return Meta{Owner: c.Owners[i%2].Name, Name: fmt.Sprintf("object-%d", i), Labels: labels}
	}
	for i := range 3300 {
		u := Upstream{
			Meta:          meta(i, selector.Labels{"pool": fmt.Sprint("p", i%7), "size": fmt.Sprint("s", i%3)}),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000),
			FailureDomain: fmt.Sprint("domain-", i%4), Region: fmt.Sprint("region-", i%2), Capacity: capacities[i%2],
		}
		if i%10 >= 8 {
			u.Service = fmt.Sprintf("object-%d", i%10)
		}
		c.Upstreams = append(c.Upstreams, u)
	}
	models, _ := selector.Parse("size in (s0, s1)")
	for i := range 4200 {
		labels := selector.Labels{"tier": fmt.Sprint("t", i%5)}
		if i%4 == 0 {
			labels["team"] = fmt.Sprint("team-", i)
		}
		c.Workspaces = append(c.Workspaces, Workspace{Meta: meta(i, labels), RequestsPerSecond: 10, Models: models})
		secrets = append(secrets, fmt.Sprint("secret-", i))
		c.Keys = append(c.Keys, Key{Meta: meta(i, nil), Workspace: fmt.Sprintf("object-%d", i), SHA256: HashKey(secrets[i])})
	}
	for i := range 29 {
		c.Models = append(c.Models, Model{Meta: meta(i, selector.Labels{"size": fmt.Sprint("s", i%3)})})
	}
	for i := range 10 {
		c.Services = append(c.Services, Service{Meta: meta(i, nil)})
	}
	for i := range 500 {
		r := Route{Meta: meta(i, selector.Labels{"part": fmt.Sprint(i % 9)}), Path: fmt.Sprintf("/service-%d/part/call-%d", i%10, i), Service: fmt.Sprintf("object-%d", 8+i%2), Repeat: retryClasses[i%2]}
		if i%5 == 0 {
			r.Path = fmt.Sprintf("/service-%d/part-%d/", i%10, i)
		}
		c.Routes = append(c.Routes, r)
	}
	for i := range 100 {
		r := Rule{Meta: meta(i, nil), Order: i, Priority: i % 10, Capacity: ruleCapacities[i%3]}
		r.Workspaces, _ = selector.Parse(fmt.Sprintf("tier = t%d, team != team-%d", i%6, 4*i))
		r.Targets, _ = selector.Parse(fmt.Sprintf("size notin (s%d, s%d)", i%3, i%2))
		r.Upstreams, _ = selector.Parse(fmt.Sprintf("pool in (p%d, p%d), region = region-%d", i%7, i%5, i%2))
		c.Rules = append(c.Rules, r)
	}
	last, _ := selector.Parse("")
	c.Rules = append(c.Rules, Rule{Meta: meta(100, nil), Order: 100, Workspaces: last})
	c.normalize()
	return c, secrets
}

// Guards against a configuration of the target size using more memory than a
// node can spare for the entries, the objects decoded from them and the snapshot
// with its candidate lists.
func TestHeapAtTargetSize(t *testing.T) {
	c, _ := targetFleet()
	before := heapBytes()
	entries := Entries(c)
	restored, err := FromEntries(entries)
	if err != nil {
		t.Fatal(err)
	}
	objects := heapBytes() - before
	s := Compile(restored, 1)
	for _, q := range targetQueries(s) {
		s.Decide(q)
	}
	total := heapBytes() - before
	t.Logf("heap: %d bytes of entries and objects, %d bytes with the snapshot", objects, total)
	if total > targetHeapBytes {
		t.Errorf("heap = %d bytes, want at most %d", total, targetHeapBytes)
	}
	runtime.KeepAlive(c)
	runtime.KeepAlive(entries)
	runtime.KeepAlive(restored)
	runtime.KeepAlive(s)
}

// Guards against allocations in the calls that each request makes.
func TestRequestPathDoesNotAllocate(t *testing.T) {
	c, secrets := targetFleet()
	s := Compile(c, 1)
	queries := targetQueries(s)
	for _, q := range queries {
		s.Decide(q)
	}
	i := 0
	if n := testing.AllocsPerRun(1000, func() {
		i++
		w, _, _ := s.Authenticate(secrets[i%len(secrets)])
		s.MatchRoute("GET", c.Routes[i%len(c.Routes)].Path)
		s.ModelFor(w, "object-1")
		s.Decide(queries[i%len(queries)])
	}); n > 0 {
		t.Errorf("a request allocates %v times, want none", n)
	}
}

func BenchmarkMatchAndDecide(b *testing.B) {
	c, _ := targetFleet()
	s := Compile(c, 1)
	for i := 0; b.Loop(); i++ {
		matchAndDecide(c, s, i)
	}
}

func BenchmarkMatchAndDecideParallel(b *testing.B) {
	c, _ := targetFleet()
	s := Compile(c, 1)
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			matchAndDecide(c, s, i)
		}
	})
}

func matchAndDecide(c *Config, s *Snapshot, i int) {
	q := Query{Workspace: s.workspaces[i%len(s.workspaces)]}
	q.Route, _ = s.MatchRoute("GET", c.Routes[i%len(c.Routes)].Path)
	q.Target, _ = s.ServiceFor(q.Route)
	s.Decide(q)
}

func BenchmarkMatchRoute(b *testing.B) {
	c, _ := targetFleet()
	s := Compile(c, 1)
	for i := 0; b.Loop(); i++ {
		s.MatchRoute("GET", c.Routes[i%len(c.Routes)].Path+"x")
	}
}

func BenchmarkDecide(b *testing.B) {
	c, _ := targetFleet()
	s := Compile(c, 1)
	queries := targetQueries(s)
	for i := 0; b.Loop(); i++ {
		s.Decide(queries[i%len(queries)])
	}
}

func BenchmarkReferenceExplain(b *testing.B) {
	c, _ := targetFleet()
	s := Compile(c, 1)
	queries := targetQueries(s)
	for i := 0; b.Loop(); i++ {
		referenceExplain(s, queries[i%len(queries)])
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	c, secrets := targetFleet()
	s := Compile(c, 1)
	for i := 0; b.Loop(); i++ {
		s.Authenticate(secrets[i%len(secrets)])
	}
}

func BenchmarkCompile(b *testing.B) {
	c, _ := targetFleet()
	b.ReportAllocs()
	for b.Loop() {
		Compile(c, 1)
	}
}

func BenchmarkParse(b *testing.B) {
	c, _ := targetFleet()
	text := Format(c)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, problems := Parse("f", text); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

// targetQueries returns queries for models and services from every seventh
// workspace.
func targetQueries(s *Snapshot) (queries []Query) {
	for i := 0; i < len(s.workspaces); i += 7 {
		w := s.workspaces[i]
		for _, m := range s.Models(w) {
			queries = append(queries, Query{Workspace: w, Target: m})
		}
		route, _ := s.MatchRoute("GET", fmt.Sprintf("/service-%d/part/call-%d", i%10, i%500))
		if service, ok := s.serviceOf(route); ok {
			queries = append(queries, Query{w, route, service})
		}
	}
	return queries
}

// serviceOf returns the service of a route, which may be nil.
func (s *Snapshot) serviceOf(route *Route) (service *Service, ok bool) {
	if route == nil {
		return nil, false
	}
	return s.ServiceFor(route)
}

func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
