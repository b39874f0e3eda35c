package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// Host is the host of all routes.
	Host = "desk.example"
	// Key is an API key of the tenant.
	Key = "2b9wu3fexd9dnn2ctnfz"
	// Tenant is the name of the only tenant.
	Tenant = "huka270"
	// Service is the plain service behind the machines.
	Service = "entry-desk"
)

type (
	// Route is a route of the configuration.
	Route struct {
		Name        string `json:"name"`
		Hostname    string `json:"hostname"`
		Prefix      string `json:"prefix"`
		Kind        string `json:"kind"`
		TimeoutMs   int    `json:"timeout_ms"`
		TargetMs    int    `json:"target_latency_ms"`
		Priority    int    `json:"priority"`
		Service     string `json:"service"`
		MaxAttempts int    `json:"max_attempts"`
		Anonymous   bool   `json:"allow_anonymous"`
	}

	// ServiceEntry is a service of the configuration.
	ServiceEntry struct {
		Name           string `json:"name"`
		HealthPath     string `json:"health_path"`
		MaxConnections int    `json:"max_connections"`
		Protocol       string `json:"protocol"`
	}

	// Limits bound what clients send.
	Limits struct {
		HeaderBytes     int `json:"max_header_bytes"`
		BodyBytes       int `json:"max_body_bytes"`
		HeaderTimeoutMs int `json:"header_timeout_ms"`
		IdleTimeoutMs   int `json:"idle_timeout_ms"`
	}

	// TenantEntry is a tenant of the configuration.
	TenantEntry struct {
		Name string   `json:"name"`
		Keys []string `json:"api_keys"`
	}

	// Config is the operator's configuration.
	Config struct {
		Version  int            `json:"version"`
		Routes   []Route        `json:"routes"`
		Services []ServiceEntry `json:"services"`
		Limits   Limits         `json:"limits"`
		Tenants  []TenantEntry  `json:"tenants"`
	}

	// Deployment is a small deployment: machines of three zones, a plain service, the
	// store and the platform.
	Deployment struct {
		Store   *Store
		Fleet   *Fleet
		Nodes   []*Node
		Workers []*Worker
		Record  *Record
	}
)

// NewConfig returns a configuration with one route for entries, which may run once
// at most, and one for lookups, which may run again.
func NewConfig(version int) Config {
	return Config{
		Version: version,
		Routes: []Route{
			{Name: "record", Hostname: Host, Prefix: "/record/", Kind: "non_idempotent", TimeoutMs: 3000, TargetMs: 400, Priority: 2, Service: Service, MaxAttempts: 1},
			{Name: "lookup", Hostname: Host, Prefix: "/lookup/", Kind: "idempotent", TimeoutMs: 3000, TargetMs: 400, Priority: 2, Service: Service, MaxAttempts: 2},
		},
		Services: []ServiceEntry{{Name: Service, HealthPath: "/health", MaxConnections: 110, Protocol: "h1"}},
		Limits:   Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants:  []TenantEntry{{Name: Tenant, Keys: []string{Key}}},
	}
}

// Open starts the store and the platform, and returns a deployment with a machine
// in each of the zones, whose processes and workers aren't started yet. The record
// is written to record.txt in the folder of the case.
func Open(folder string, zones ...string) (d *Deployment, err error) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d = &Deployment{Store: NewStore(), Record: record}
	d.Fleet = &Fleet{
		Folder: temporary, Record: record,
		Zones: map[string]string{"mbeya-a": "mbeya", "iringa-a": "iringa", "njombe-a": "njombe"},
	}
	if d.Fleet.Store, err = Serve("127.0.0.1", d.Store); err != nil {
		return nil, err
	}
	if d.Fleet.Cloud, err = Serve("127.0.0.1", Cloud{}); err != nil {
		return nil, err
	}
	var ips []string
	for i, zone := range zones {
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		ips = append(ips, ip)
		d.Nodes = append(d.Nodes, NewNode(d.Fleet, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, ip))
	}
	d.Fleet.Ports, err = FreePorts(ips)
	return d, err
}

// StartNodes starts the processes of all machines, and waits until all of them are
// ready.
func (d *Deployment) StartNodes() error {
	for _, node := range d.Nodes {
		if err := node.Start(true); err != nil {
			return err
		}
	}
	return d.await(15*time.Second, func() bool {
		for _, node := range d.Nodes {
			if !node.Ready() {
				return false
			}
		}
		return true
	})
}

func (d *Deployment) await(limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("the machines are not ready after %s", limit)
}

// Close ends all processes that the deployment started, and removes its folder.
func (d *Deployment) Close() {
	for _, node := range d.Nodes {
		node.Kill()
	}
	d.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.Fleet.Folder)
	} else {
		fmt.Println("settings and logs:", d.Fleet.Folder)
	}
}

// Exit statuses of a script.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Trouble reports whether the script plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Could ends the program if the case couldn't run.
func (d *Deployment) Could(err error) {
	if err != nil {
		fmt.Println("could not run:", err)
		d.Close()
		os.Exit(CouldNot)
	}
}
