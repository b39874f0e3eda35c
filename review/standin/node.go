package standin

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// Contact is contact_ms: a machine is in touch again so long after a disruption.
	Contact = 4 * time.Second
	// Grace is grace_s: the time from SIGTERM to SIGKILL.
	Grace = 8 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
)

type (
	// Fleet is what all machines of a deployment have in common.
	Fleet struct {
		Folder string // for settings and logs
		Zones  map[string]string
		Store  string // address
		Cloud  string // address
		Ports  Ports
		Record *Record
	}

	// Ports are the ports of the machines, the same on each.
	Ports struct{ Front, Ready, Peer, Metrics int }

	// Node is a machine that runs the role of the deploy file as a process of its own.
	Node struct {
		Name, Zone, IP string
		fleet          *Fleet

		mu          sync.Mutex
		process     *exec.Cmd
		done        chan struct{} // closed when the process has ended
		disturbedAt time.Time     // the last start or signal
		ready       bool
		missed      int // readiness checks in a row
		stopped     bool
	}
)

// FreePorts returns ports that are free on all the addresses.
func FreePorts(ips []string) (ports Ports, err error) {
	free := func() (int, error) {
	next:
		for range 100 {
			probe, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return 0, err
			}
			port := probe.Addr().(*net.TCPAddr).Port
			_ = probe.Close()
			for _, ip := range ips {
				address := fmt.Sprintf("%s:%d", ip, port)
				tcp, err := net.Listen("tcp", address)
				if err != nil {
					continue next
				}
				_ = tcp.Close()
				udp, err := net.ListenPacket("udp", address)
				if err != nil {
					continue next
				}
				_ = udp.Close()
			}
			return port, nil
		}
		return 0, fmt.Errorf("no free port")
	}
	for _, port := range []*int{&ports.Front, &ports.Ready, &ports.Peer, &ports.Metrics} {
		if *port, err = free(); err != nil {
			return ports, err
		}
	}
	return ports, nil
}

// NewNode returns a machine whose process isn't started yet.
func NewNode(fleet *Fleet, name, zone, ip string) *Node {
	return &Node{Name: name, Zone: zone, IP: ip, fleet: fleet}
}

// Front returns the address for clients.
func (n *Node) Front() string { return fmt.Sprintf("%s:%d", n.IP, n.fleet.Ports.Front) }

// settings returns the settings file, as deploy/entry.toml gives it with the bounds
// of a small site.
func (n *Node) settings(first bool) string {
	f := n.fleet
	var text strings.Builder
	fmt.Fprintf(&text, "Name = %q\nFailureDomain = %q\n", n.Name, n.Zone)
	if first {
		text.WriteString("FirstStart = true\n")
	}
	fmt.Fprintf(&text, "[Listen]\nCaller = %q\nReady = \"%s:%d\"\nPeer = \"%s:%d\"\nMetrics = \"%s:%d\"\n\n[Regions]\n",
		n.Front(), n.IP, f.Ports.Ready, n.IP, f.Ports.Peer, n.IP, f.Ports.Metrics)
	for zone, region := range f.Zones {
		fmt.Fprintf(&text, "%s = %q\n", zone, region)
	}
	fmt.Fprintf(&text, "[Store]\nAddress = %q\n\n[Cloud]\nAddress = %q\n", f.Store, f.Cloud)
	text.WriteString(`[Limits]
MemoryMB = 284
ProcessorShare = 0.4

[Bounds]
Configuration = "3000ms"
Revocation = "5000ms"
Grace = "8s"
Lease = "3000ms"
UsageWindow = "5s"
UsageLateness = "10s"
RetryWindow = "10s"
RetryRatio = 0.2
RetrySlack = 58
Fenced = true
`)
	return text.String()
}

// Start starts the process with the command of the deploy file, and begins the
// checks of its readiness.
func (n *Node) Start(first bool) error {
	path := filepath.Join(n.fleet.Folder, n.Name+".toml")
	if err := os.WriteFile(path, []byte(n.settings(first)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.Folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	process := exec.Command("target/guavagauge", "entry", "--config-variable", "GUAVAGAUGE_BOOT")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GUAVAGAUGE_BOOT=" + path}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = process.Start(); err != nil {
		_ = log.Close()
		return err
	}
	_ = log.Close() // the process has its own descriptor
	done := make(chan struct{})
	n.mu.Lock()
	n.process, n.done, n.disturbedAt = process, done, time.Now()
	n.mu.Unlock()
	n.fleet.Record.Add("machine %s starts, process %d", n.Name, process.Process.Pid)
	go func() {
		_ = process.Wait()
		n.fleet.Record.Add("process %d of %s has ended: %s", process.Process.Pid, n.Name, process.ProcessState)
		close(done)
	}()
	if first {
		go n.checkReadiness()
	}
	return nil
}

// checkReadiness asks once a second whether the machine is ready, as the platform
// does. Two misses take it out.
func (n *Node) checkReadiness() {
	client := &http.Client{Timeout: time.Second}
	for {
		answer, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", n.IP, n.fleet.Ports.Ready))
		ok := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close()
		}
		n.mu.Lock()
		if ok {
			n.ready, n.missed = true, 0
		} else if n.missed++; n.missed >= 2 {
			n.ready = false
		}
		stopped := n.stopped
		n.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(time.Second)
	}
}

// Ready reports whether the machine gets new connections.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

// InTouch reports whether the machine has been without disruption for contact_ms.
func (n *Node) InTouch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.disturbedAt) > Contact
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbedAt = time.Now()
	_ = n.process.Process.Signal(signal) // fails only if the process has ended
	n.fleet.Record.Add("%s to machine %s", signal, n.Name)
}

// Restart stops the process as planned work does, and starts it again.
func (n *Node) Restart() error {
	n.Stop()
	time.Sleep(restartDelay)
	return n.Start(false)
}

// Stop sends SIGTERM and, after grace_s, SIGKILL.
func (n *Node) Stop() {
	n.Signal(syscall.SIGTERM)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
	case <-time.After(Grace):
		n.Signal(syscall.SIGKILL)
		<-done
	}
}

// Kill ends the process and the checks at the end of a script.
func (n *Node) Kill() {
	n.mu.Lock()
	n.stopped = true
	process, done := n.process, n.done
	n.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-done
	}
}
