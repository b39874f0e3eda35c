// Package settings reads the settings file of one node: its name and location,
// the addresses that it listens on, the services that it connects to, and its
// limits and intervals. The configuration that all nodes share is in package
// fleet.
//
// Settings is for the nodes of package node, and EntrySettings for those of
// package entry. The commands that start a node exit if its file has problems,
// and the check command only reports them. Packages dev and scale build Settings
// in memory. A running node reads its settings without a lock, so they must not
// be changed. Changes of the file apply after a restart.
//
// # Usage
//
//	settings, problems := settings.Parse("node.toml", text)
//	for _, problem := range problems {
//		fmt.Fprintln(os.Stderr, problem)
//	}
//
// A program that builds Settings itself calls FillDefaults, and may call Check.
//
// All problems of a file are reported at once. After a syntax error, nothing is
// decoded, so every required setting is reported as missing too. The files and
// addresses that settings refer to are neither opened nor contacted here.
package settings

import (
	"net/netip"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
)

const (
	// PreferGoodput favors the share of requests that meet their objective,
	// over all workspaces.
	PreferGoodput Preference = "Goodput"
	// PreferWorstServed favors the workspace with the lowest share of requests
	// that meet their objective, at a higher cost.
	PreferWorstServed Preference = "WorstServed"
)

type (
	// Preference names a preset of policy.Preferences, by which a node places
	// requests, changes the roles of engines and scales the fleet.
	Preference string

	// Settings holds the settings of one node of package node. Name,
	// FailureDomain, Region, Listen.Peer, Operator and Store.Addresses are required.
	Settings struct {
		Name          string
		FailureDomain string
		Region        string
		Preference    Preference
		// Seeds are the peer addresses of nodes that this node contacts to join the
		// fleet. They may include this node. Without seeds, it finds nodes on the
		// platform's list of VMs, or is contacted by them.
		Seeds []netip.AddrPort
		// FatalInvariants makes the process exit when an invariant is violated. It
		// is meant for tests.
		FatalInvariants bool

		Listen    Listen
		Operator  Operator
		Store     Store
		Platform  Platform
		TLS       TLS
		Limits    Limits
		Intervals Intervals
	}

	// Listen holds the addresses of the node's listeners. Other nodes connect to
	// Peer, so it can't be an unspecified address.
	Listen struct {
		Caller   netip.AddrPort
		Peer     netip.AddrPort
		Operator netip.AddrPort
	}

	// Operator configures access to the operator listener.
	Operator struct {
		// CredentialSHA256 is the SHA-256 hash of the operator credential, in
		// lowercase hexadecimal.
		CredentialSHA256 string
	}

	// Store configures access to the key-value store.
	Store struct {
		// Addresses lists the addresses of the store. A node uses one of them,
		// which its name selects, and doesn't switch to another after a failure.
		Addresses []netip.AddrPort
		// CallsPerSecond limits the rate of this node's calls. Calls beyond it fail
		// without being sent.
		CallsPerSecond float64
		CallTimeout    time.Duration
	}

	// Platform configures access to the platform's API, which lists VMs, starts
	// and stops upstreams and takes usage reports.
	Platform struct {
		// Addresses may be empty: the node then serves requests, but runs none of
		// the tasks that need the platform. Only the first address is used.
		Addresses   []netip.AddrPort
		CallTimeout time.Duration
	}

	// TLS holds the paths of PEM files, which the node loads when it starts and
	// again when they change. A listener without a certificate uses plain TCP.
	// Nodes verify each other's certificates against PeerAuthorities.
	TLS struct {
		CallerCertificate   string
		CallerKey           string
		PeerCertificate     string
		PeerKey             string
		PeerAuthorities     string
		OperatorCertificate string
		OperatorKey         string
	}

	// Limits bounds the size and duration of callers' requests. A route of the
	// configuration may have a lower limit of its body and has its own deadline.
	Limits struct {
		HeaderBytes       int
		BodyBytes         int64 // upper bound of every route's MaxBodyBytes
		HeaderReadTimeout time.Duration
		BodyReadTimeout   time.Duration
		IdleTimeout       time.Duration // of a connection without a request in flight
		WriteTimeout      time.Duration // for each write to a caller
		RequestDeadline   time.Duration // for requests to the model API
	}

	// Intervals holds the periods and time limits of communication with other
	// processes.
	Intervals struct {
		Probe            time.Duration // between membership probes
		ProbeTimeout     time.Duration
		Suspicion        time.Duration // from the suspicion that a node has failed until it is removed, in a fleet of up to 10 nodes; longer in larger ones
		Lease            time.Duration // time to live of leases in the store, renewed while they are held
		RevisionCompare  time.Duration // between comparisons of the configuration revision with a peer
		KeyConfirmation  time.Duration // from the last confirmation that the revision is the newest until a node that may be partitioned refuses API keys
		UsageWindow      time.Duration // length of the windows in which usage is counted; must be the same on all nodes
		UsageLateness    time.Duration // from a window's end until its report stops waiting for nodes that don't answer
		ClaimRetention   time.Duration // how long outcomes of requests with an idempotency key are kept
		Quarantine       time.Duration // how long poison requests are refused
		ListenerWithdraw time.Duration // between failing the readiness check and closing the listeners, for load balancers to notice
		ShutdownDeadline time.Duration // from SIGTERM until requests in flight are aborted, includes ListenerWithdraw
	}
)

// Parse decodes a settings file, sets defaults and returns all problems. Settings
// with problems must not be used.
func Parse(file string, text []byte) (settings *Settings, problems []fleet.Problem) {
	settings = &Settings{}
	source := fleet.Decode(file, text, settings)
	settings.check(source)
	settings.FillDefaults()
	return settings, source.SortedProblems()
}

// Check returns the problems of settings that weren't read from a file. A zero
// value counts as a setting that isn't set.
func (s *Settings) Check() (problems []fleet.Problem) {
	source := fleet.Decode("settings", nil, &Settings{}) // without lines or defined settings
	s.check(source)
	return source.SortedProblems()
}
