package main

import (
	"bufio"
	"fmt"
	"sync"
	"time"
)

func init() { cases["tenant"] = playTenant }

// playTenant takes a key away while the only machine is cut off from the store. The client
// goes on sending the key, on a route that needs none.
func playTenant(f *fleet, trouble bool) (broken []string) {
	const (
		cutTime    = 12 * time.Second
		revokeTime = 5 * time.Second // revoke_ms
	)
	var mu sync.Mutex
	tenants := map[string]string{} // header Tenant, by request
	handle := serveSound(func(_ *worker, q *request) (status int, body string) {
		mu.Lock()
		tenants[q.id] = q.Header.Get("Tenant")
		mu.Unlock()
		return 200, "fees"
	})
	for i, zone := range []string{"mbeya-a", "iringa-a", "njombe-a"} {
		f.addWorker(fmt.Sprintf("i-a%d", i+1), "desk", zone, "", 6, handle)
	}
	f.heartbeats(f.workers...)
	routes := []object{
		route("r-1", "desk.example", "/draw/", "idempotent", "desk", 3000, 400, 2, object{"priority": 2}),
		route("r-2", "desk.example", "/open/", "idempotent", "desk", 3000, 400, 2, object{"priority": 2, "allow_anonymous": true}),
	}
	services := []object{plainService("desk")}
	f.store.set("op/config", config(3, routes, services, []object{tenant("t1", "key1", "key2"), tenant("t2", "key3")}))
	p, address := newProxy(f.storeAt)
	f.storeAt = address
	n := f.addNode("mbeya-a")
	f.start(n)
	f.awaitReady(n)
	time.Sleep(5 * time.Second)
	p.setCut(trouble)
	f.record.log("cut off from the store: %t", trouble)
	cutAt := time.Now()
	time.Sleep(time.Second)
	f.store.set("op/config", config(5, routes, services, []object{tenant("t1", "key2"), tenant("t2", "key3")}))
	revokedAt := time.Now()
	f.record.log("the store acknowledged version 5, which takes key1 away")
	for i := 0; time.Since(cutAt) < cutTime; i++ {
		for _, path := range []string{"/draw/1", "/open/1"} {
			id := fmt.Sprintf("%016x", 0xfee0000+i*16+len(path))
			late := time.Since(revokedAt) > revokeTime
			c, err := dial(n.front)
			if err != nil {
				continue
			}
			c.SetDeadline(time.Now().Add(4 * time.Second))
			a := exchange(c, bufio.NewReader(c), "GET", "desk.example", path, id, "key1", 3*time.Second, "", "")
			c.Close()
			mu.Lock()
			name, ran := tenants[id]
			mu.Unlock()
			f.record.log("%s with key1 on %s, late: %t: answered %d, ran: %t, Tenant %q", id, path, late, a.status, ran, name)
			if late && ran && name != "" {
				broken = append(broken, fmt.Sprintf("UNASKED: %s ran on %s with Tenant %q, %s after the acknowledgement that key1 belongs to no tenant", id, path, name, time.Since(revokedAt).Round(time.Millisecond)))
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	p.setCut(false)
	return broken
}
