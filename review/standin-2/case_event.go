package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["event"] = playEvent }

// playEvent sends streams on a resumable route whose first worker stops in the middle of
// its second event.
func playEvent(f *fleet, trouble bool) (broken []string) {
	const pieces = 4
	// A piece fills one line of 4,096 bytes, its end not counted.
	piece := func(n int) string { return strings.Repeat(string(rune('A'+n)), 4096-len("data: ")) }
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, piece(n)) }
	var mu sync.Mutex
	arrivals := map[string]int{}
	handle := func(w *worker, c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			q, err := readRequest(reader)
			if err != nil {
				return
			}
			if w.answerOwn(c, q) {
				continue
			}
			mu.Lock()
			arrivals[q.id]++
			first := arrivals[q.id] == 1
			mu.Unlock()
			last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			f.record.log("%s runs %s after event %d", w.id, q.id, last)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.id, seal(w, q))
			send := func(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
			for n := last + 1; n <= pieces; n++ {
				if trouble && first && n == 2 {
					text := event(n)
					send(text[:len(text)-1]) // without the empty line that ends the event
					time.Sleep(50 * time.Millisecond)
					f.record.log("%s breaks off %s in the middle of event %d", w.id, q.id, n)
					c.(*net.TCPConn).SetLinger(0)
					return
				}
				send(event(n))
				time.Sleep(20 * time.Millisecond)
			}
			fmt.Fprint(c, "0\r\n\r\n")
		}
	}
	f.addWorker("i-a1", "models", "mbeya-a", "decode", 64, handle)
	f.addWorker("i-a2", "models", "mbeya-a", "decode", 64, handle)
	f.heartbeats(f.workers...)
	f.store.set("op/config", config(3, []object{
		route("r-1", "fees.example", "/fee/", "streaming", "models", 3000, 500, 2, object{"resumable": true, "gap_aim_ms": 300, "priority": 0}),
	}, []object{engineService("models")}, []object{tenant("t1", "key1")}))
	n := f.addNode("mbeya-a")
	f.start(n)
	f.awaitReady(n)
	time.Sleep(2 * time.Second)
	for i := range 5 {
		id := fmt.Sprintf("%016x", 0xabc000+i)
		a := send(n.front, "POST", "fees.example", "/fee/x", id, "key1", 3*time.Second, "Model: m\r\nToken-Usage: 100,8\r\nPrompt-Prefix: a1:50,b1:50\r\n", "q")
		f.record.log("client gets for %s: %s", id, a)
		if a.status != 200 || a.err != nil {
			continue // not a whole stream
		}
		got, data := []int{}, ""
		last := 0
		for _, line := range strings.Split(string(a.body), "\n") {
			switch {
			case strings.HasPrefix(line, "id: "):
				last, _ = strconv.Atoi(line[4:])
			case strings.HasPrefix(line, "data: "):
				data += line[6:]
			case line == "" && data != "":
				got = append(got, last)
				if data != piece(last) {
					broken = append(broken, fmt.Sprintf("ORDER: %s: event %d of a complete stream has %d bytes of data, want the %d bytes of its worker", id, last, len(data), len(piece(last))))
				}
				data = ""
			}
		}
		f.record.log("events of %s: %v", id, got)
		if fmt.Sprint(got) != "[1 2 3 4]" {
			broken = append(broken, fmt.Sprintf("ORDER: %s: a complete stream has the events %v, want 1 to 4", id, got))
		}
	}
	return broken
}
