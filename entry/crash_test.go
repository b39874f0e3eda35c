package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

// A request crashes every upstream that runs it, and is repeated at all nodes.
// After the third crash no upstream gets it, and other requests are still served.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startNode("n2", n2)
		f.startNode("n3", n3)
		f.configure(1, key)
		for id, address := range map[string]string{"d1": "10.2.0.1:80", "d2": "10.2.0.2:80", "d3": "10.2.0.3:80", "d4": "10.2.0.4:80"} {
			f.startUpstream(id, "desk", "", address, &platformtest.Upstream{Poison: "poison"})
		}
		f.startNodeAndWait("n1", n1)
		for i := range 12 {
			f.request(f.nodeAddresses()[i%3]+":80", http.MethodPost, "/entries/1", "poison", nil)
			f.advance(2 * time.Second)
		}
		poisoned := 0
		for id := range f.upstreams {
			for _, run := range f.runs(id) {
				if run.Body == "poison" {
					poisoned++
				}
			}
		}
		if poisoned > 3 {
			t.Errorf("the request ran %d times, want at most 3", poisoned)
		}
		for _, address := range f.nodeAddresses() {
			f.expect(f.request(address+":80", http.MethodPost, "/entries/1", "sound", nil), http.StatusOK, "answer")
			f.expect(f.request(address+":80", http.MethodPost, "/entries/1", "poison", nil), http.StatusServiceUnavailable, "HeldOut")
		}
	})
}

// promptParts returns the headers of a request whose prompt has the given parts
// and one of its own.
func (f *testFleet) promptParts(parts ...string) (header http.Header) {
	header = http.Header{}
	platformtest.AddPromptParts(header, append(parts, fmt.Sprintf("own%d", f.requestCount.Load()))...)
	return header
}

// ownBody returns a body that no other request has.
func (f *testFleet) ownBody() (body string) { return fmt.Sprintf("prompt %d", f.requestCount.Load()) }

// startPoisonedEngines starts three nodes and engines that crash when they run a
// request with the prompt part "deadly".
func (f *testFleet) startPoisonedEngines() {
	f.startNode("n2", n2)
	f.startNode("n3", n3)
	f.configure(1, key)
	for i := range 8 {
		f.startUpstream(fmt.Sprintf("g%d", i), "models", "decode", fmt.Sprintf("10.3.0.%d:80", i+1), &platformtest.Upstream{Events: 2, PoisonPart: "deadly"})
	}
	f.startNodeAndWait("n1", n1)
}

// runsWithPart returns the number of requests with a prompt part that upstreams
// ran.
func (f *testFleet) runsWithPart(part string) (runs int) {
	for id := range f.upstreams {
		for _, run := range f.runs(id) {
			if platformtest.HasSharedPart(run.Header, part) {
				runs++
			}
		}
	}
	return runs
}

// Guards against requests that all differ, but have a part of their prompts in
// common that crashes upstreams one after the other. Requests with the other parts
// are served, also those that come beside a crash.
func TestPoisonPromptPartIsQuarantined(t *testing.T) {
	const crashLimit = 5 // as the platform requires it; requests that arrive together may exceed it
	runWithFleet(t, func(f *testFleet) {
		f.startPoisonedEngines()
		for i := range 40 {
			f.request(f.nodeAddresses()[i%3]+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject", "deadly"))
			f.advance(300 * time.Millisecond)
			if i%4 == 0 {
				f.expect(f.request(f.nodeAddresses()[i%3]+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject")), http.StatusOK, "piece 2")
			}
		}
		if runs := f.runsWithPart("deadly"); runs > crashLimit {
			t.Errorf("upstreams ran %d requests with the part that crashes them, want at most %d", runs, crashLimit)
		}
		for _, address := range f.nodeAddresses() {
			f.expect(f.request(address+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("other", "deadly")), http.StatusServiceUnavailable, "HeldOut")
			f.expect(f.request(address+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject")), http.StatusOK, "piece 2")
		}
	})
}

// Guards against the quarantine of a part that was beside the cause in each crash,
// while no other request with it came.
func TestPartBesidePoisonIsServed(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startPoisonedEngines()
		for i := range 20 {
			f.request(f.nodeAddresses()[i%3]+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject", "deadly"))
			f.advance(300 * time.Millisecond)
		}
		for _, address := range f.nodeAddresses() {
			f.expect(f.request(address+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject", "deadly")), http.StatusServiceUnavailable, "HeldOut")
			f.expect(f.request(address+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject")), http.StatusOK, "piece 2")
		}
	})
}

// Guards against nodes that don't know the quarantined parts because they started,
// or could not receive messages, when these were quarantined.
func TestLateNodeLearnsQuarantinedParts(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startPoisonedEngines()
		f.packets.SetPartitioned(n3, true)
		for i := range 20 {
			f.request(f.nodeAddresses()[i%2]+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject", "deadly"))
			f.advance(300 * time.Millisecond)
		}
		f.advance(5 * time.Second)
		f.packets.SetPartitioned(n3, false)
		f.startNodeAndWait("n4", "10.1.0.4")
		before := f.runsWithPart("deadly")
		for _, address := range []string{n3, "10.1.0.4"} {
			f.expect(f.request(address+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject", "deadly")), http.StatusServiceUnavailable, "HeldOut")
		}
		if after := f.runsWithPart("deadly"); after != before {
			t.Errorf("%d requests with the part reached upstreams", after-before)
		}
	})
}

// quarantinePoison makes the body "poison" crash upstreams until all nodes refuse it,
// and returns how often it ran.
func (f *testFleet) quarantinePoison() (runs int) {
	f.startPoisonedDesks()
	return f.sendPoison()
}

// startPoisonedDesks starts three nodes and upstreams that the body "poison" crashes.
func (f *testFleet) startPoisonedDesks() {
	f.startNode("n2", n2)
	f.startNode("n3", n3)
	f.configure(1, key)
	for i := range 4 {
		f.startUpstream(fmt.Sprintf("d%d", i), "desk", "", fmt.Sprintf("10.2.0.%d:80", i+1), &platformtest.Upstream{Poison: "poison"})
	}
	f.startNodeAndWait("n1", n1)
}

// sendPoison sends the body "poison" until all nodes refuse it, and returns how often it ran.
func (f *testFleet) sendPoison() (runs int) {
	for i := range 8 {
		f.request(f.nodeAddresses()[i%3]+":80", http.MethodPost, "/entries/1", "poison", nil)
		f.advance(time.Second)
	}
	return f.poisonRuns()
}

// poisonRuns returns how often upstreams ran the body "poison".
func (f *testFleet) poisonRuns() (runs int) {
	for id := range f.upstreams {
		for _, run := range f.runs(id) {
			if run.Body == "poison" {
				runs++
			}
		}
	}
	return runs
}

// expectQuarantined checks that all nodes refuse the body "poison" without a run, and
// serve another one.
func (f *testFleet) expectQuarantined(runs int) {
	f.t.Helper()
	for _, address := range f.nodeAddresses() {
		f.expect(f.request(address+":80", http.MethodPost, "/entries/1", "poison", nil), http.StatusServiceUnavailable, "HeldOut")
		f.expect(f.request(address+":80", http.MethodPost, "/entries/1", "sound", nil), http.StatusOK, "answer")
	}
	if after := f.poisonRuns(); after != runs {
		f.t.Errorf("the request ran %d times, want none after the %d before", after, runs)
	}
	f.advance(4 * time.Second) // crashed upstreams start again
}

// restartNode stops a node and starts it again under its name and address.
func (f *testFleet) restartNode(name, address string) {
	f.nodes[name].Stop(context.Background())
	f.advance(300 * time.Millisecond)
	f.startNode(name, address)
}

// Guards against nodes that forget, when they start, which requests crash upstreams.
// Each restart then let such a request through again.
func TestQuarantineOutlivesRestarts(t *testing.T) {
	nodes := map[string]string{"n1": n1, "n2": n2, "n3": n3}
	restartAll := func(f *testFleet) {
		for name := range nodes {
			go f.nodes[name].Stop(context.Background())
		}
		f.advance(4 * time.Second)
		for name, address := range nodes {
			f.startNode(name, address)
		}
		f.advance(2 * time.Second)
	}
	for name, restart := range map[string]func(f *testFleet){
		"in turn": func(f *testFleet) {
			for name, address := range nodes {
				f.restartNode(name, address)
				f.advance(5 * time.Second)
			}
		},
		"in turn, store refuses the new processes": func(f *testFleet) {
			for name, address := range nodes {
				f.store.Refuse(address, true)
				f.restartNode(name, address)
				f.advance(5 * time.Second)
				f.store.Refuse(address, false)
				f.advance(5 * time.Second)
			}
		},
		"all at once": restartAll,
		"all at once, store refuses for longer than nodes wait": func(f *testFleet) {
			for _, address := range nodes {
				f.store.Refuse(address, true)
			}
			restartAll(f)
			f.advance(6 * time.Second)
			for _, address := range nodes {
				f.store.Refuse(address, false)
			}
			f.advance(2 * time.Second)
		},
		"all at once, store refuses all but one of them": func(f *testFleet) {
			f.store.Refuse(n1, true)
			f.store.Refuse(n2, true)
			f.store.Refuse(n3, true)
			restartAll(f)
			f.advance(6 * time.Second)
			f.store.Refuse(n3, false)
			f.advance(4 * time.Second)
		},
		"all at once, twice": func(f *testFleet) {
			restartAll(f)
			restartAll(f)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				runs := f.quarantinePoison()
				restart(f)
				f.expectQuarantined(runs)
			})
		})
	}
}

// Guards against nodes that forget quarantined prompt parts when all of them start.
func TestPartQuarantineOutlivesRestartOfAllNodes(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startPoisonedEngines()
		for i := range 20 {
			f.request(f.nodeAddresses()[i%3]+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject", "deadly"))
			f.advance(300 * time.Millisecond)
		}
		before := f.runsWithPart("deadly")
		for _, name := range []string{"n1", "n2", "n3"} {
			go f.nodes[name].Stop(context.Background())
		}
		f.advance(4 * time.Second)
		f.startNode("n1", n1)
		f.startNode("n2", n2)
		f.startNode("n3", n3)
		f.advance(2 * time.Second)
		for _, address := range f.nodeAddresses() {
			f.expect(f.request(address+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject", "deadly")), http.StatusServiceUnavailable, "HeldOut")
			f.expect(f.request(address+":80", http.MethodPost, "/models/1", f.ownBody(), f.promptParts("subject")), http.StatusOK, "piece 2")
		}
		if after := f.runsWithPart("deadly"); after != before {
			t.Errorf("%d requests with the part reached upstreams after the restart", after-before)
		}
		f.advance(4 * time.Second) // crashed upstreams start again
	})
}

// Guards against a quarantine that ends while the request still comes, at any node:
// each end cost three more upstreams a minute.
func TestQuarantineLastsWhileRequestComes(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		runs := f.quarantinePoison()
		for range 10 {
			f.expect(f.request(n1+":80", http.MethodPost, "/entries/1", "poison", nil), http.StatusServiceUnavailable, "HeldOut")
			f.advance(9 * time.Second)
		}
		f.expectQuarantined(runs)
	})
}

// Guards against the quarantine of a request that many callers send: it is running at
// each upstream that crashes because of another one.
func TestServedRequestIsNotQuarantined(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startNode("n2", n2)
		f.startNode("n3", n3)
		f.configure(1, key)
		for i := range 4 {
			id := fmt.Sprintf("d%d", i)
			address := fmt.Sprintf("10.2.0.%d:80", i+1)
			f.startUpstream(id, "desk", "", address, &platformtest.Upstream{Script: &f.script})
		}
		f.startNodeAndWait("n1", n1)
		for i := range 5 {
			// The upstream that gets the request crashes in the middle of it.
			f.script.Add(platformtest.CrashRun)
			f.expect(f.request(f.nodeAddresses()[i%3]+":80", http.MethodPost, "/entries/1", "common", nil), http.StatusBadGateway, "Broken")
			f.advance(4 * time.Second)
			for _, address := range f.nodeAddresses() {
				f.expect(f.request(address+":80", http.MethodPost, "/entries/1", "common", nil), http.StatusOK, "answer")
			}
			f.advance(time.Second)
		}
	})
}

// Broken responses of an upstream that hasn't crashed don't quarantine a request.
func TestBrokenResponsesQuarantineNothing(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startFleet()
		for range 6 {
			f.script.Add(platformtest.Reset)
			f.expect(f.request(n1+":80", http.MethodPost, "/entries/1", "same", nil), http.StatusBadGateway, "Broken")
			f.advance(5 * time.Second)
		}
		f.expect(f.request(n1+":80", http.MethodPost, "/entries/1", "same", nil), http.StatusOK, "answer")
	})
}

// goDark makes an upstream fall silent when it crashes. Its entry expires, and it starts
// again later.
func (f *testFleet) goDark(id, address string) {
	host := netip.MustParseAddrPort(address).Addr().String()
	upstream := f.upstreams[id]
	upstream.Crash = func() {
		for _, node := range f.nodeAddresses() {
			f.network.Cut(node, host)
			f.network.Cut(host, node)
		}
		<-time.After(3600 * time.Millisecond)
		f.store.Delete(platform.UpstreamPrefix + id)
		<-time.After(900 * time.Millisecond)
		f.network.Crash(host)
		for _, node := range f.nodeAddresses() {
			f.network.Heal(node, host)
			f.network.Heal(host, node)
		}
		f.startServer(address, upstream)
		f.registerUpstream(id, "desk", "", address, "ready")
	}
}

// Guards against a request that goes on crashing upstreams because nobody waits for its
// answer when they crash: its callers leave before, or its deadline passes while the
// upstream is silent.
func TestAbandonedPoisonRequestIsQuarantined(t *testing.T) {
	const lateRetries = 3 // allowed later than 4 s after the third crash
	for name, c := range map[string]struct {
		patience time.Duration // of the callers; 0: they wait for the answer
		dark     bool
	}{
		"callers leave":                {150 * time.Millisecond, false},
		"upstreams go dark":            {0, true},
		"callers leave dark upstreams": {150 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startNode("n2", n2)
				f.startNode("n3", n3)
				f.configure(1, key)
				for i := range 4 {
					id, address := fmt.Sprintf("d%d", i), fmt.Sprintf("10.2.0.%d:80", i+1)
					f.startUpstream(id, "desk", "", address, &platformtest.Upstream{Poison: "poison", PoisonDelay: 220 * time.Millisecond})
					if c.dark {
						f.goDark(id, address)
					}
				}
				f.startNodeAndWait("n1", n1)
				var thirdCrash time.Time
				late := 0
				for i := range 30 {
					before := f.poisonRuns()
					ctx, cancel := context.WithCancel(context.Background())
					if c.patience > 0 {
						time.AfterFunc(c.patience, cancel)
					}
					f.requestContext(ctx, f.nodeAddresses()[i%3]+":80", http.MethodPost, "/entries/1", "poison", nil)
					cancel()
					f.advance(time.Second)
					runs := f.poisonRuns()
					if !thirdCrash.IsZero() && time.Since(thirdCrash) > 5*time.Second {
						late += runs - before
					}
					if runs >= 3 && thirdCrash.IsZero() {
						thirdCrash = time.Now()
					}
				}
				if late > lateRetries {
					t.Errorf("the request reached upstreams %d times later than 4 s after the third crash, want at most %d; %d runs in all", late, lateRetries, f.poisonRuns())
				}
				f.advance(10 * time.Second)
				f.expectQuarantined(f.poisonRuns())
			})
		})
	}
}

// Guards against accusing the requests that run at upstreams which this node doesn't
// reach, or which end as they said: when their callers leave, or their deadlines pass, nobody
// has crashed.
func TestEndedRequestsAccuseNoSoundUpstream(t *testing.T) {
	cut := func(f *testFleet, _, address string) {
		host := netip.MustParseAddrPort(address).Addr().String()
		f.network.Cut(n1, host)
		f.network.Cut(host, n1)
	}
	leave := func(f *testFleet, id, address string) {
		f.registerUpstreamStartedAt(id, "desk", "", address, "draining", f.start)
		time.AfterFunc(time.Second, func() {
			f.network.Crash(netip.MustParseAddrPort(address).Addr().String())
			f.store.Delete(platform.UpstreamPrefix + id)
		})
	}
	for name, c := range map[string]struct {
		end      func(f *testFleet, id, address string)
		patience time.Duration // of the callers
	}{
		"cut off, callers leave":  {cut, 500 * time.Millisecond},
		"cut off, callers wait":   {cut, time.Minute},
		"draining, callers leave": {leave, 900 * time.Millisecond},
		"draining, callers wait":  {leave, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, key)
				for i := range 4 {
					f.startUpstream(fmt.Sprintf("d%d", i), "desk", "", fmt.Sprintf("10.2.0.%d:80", i+1), &platformtest.Upstream{Delay: time.Minute})
				}
				f.startNodeAndWait("n1", n1)
				for i := range 4 {
					ctx, cancel := context.WithTimeout(context.Background(), c.patience)
					f.cleanups = append(f.cleanups, cancel)
					go f.requestContext(ctx, n1+":80", http.MethodPost, "/entries/1", "common", nil)
					f.advance(10 * time.Millisecond)
					c.end(f, fmt.Sprintf("d%d", i), fmt.Sprintf("10.2.0.%d:80", i+1))
				}
				f.advance(12 * time.Second)
				for i := range 4 {
					f.network.Heal(n1, fmt.Sprintf("10.2.0.%d", i+1))
					f.network.Heal(fmt.Sprintf("10.2.0.%d", i+1), n1)
				}
				f.startUpstream("d9", "desk", "", "10.2.0.9:80", &platformtest.Upstream{})
				f.advance(2 * time.Second)
				if r := f.request(n1+":80", http.MethodPost, "/entries/1", "common", nil); strings.Contains(r.body, "HeldOut") {
					t.Errorf("got %v, want the request not to be quarantined", r)
				}
			})
		})
	}
}
