// Package settings reads the settings file of one node: its name and location,
// the addresses that it listens on, the services that it connects to, and its
// limits and intervals. The configuration that all nodes share is in package
// fleet.
//
// # Usage
//
//	settings, problems := settings.Parse("node.toml", text)
//	for _, problem := range problems {
//		fmt.Fprintln(os.Stderr, problem)
//	}
//
// A program that builds Settings itself calls FillDefaults and Check.
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
	// Preference names a preset of the weights by which a node makes its
	// decisions.
	Preference string

	// Settings holds the settings of one node.
	Settings struct {
		Name          string
		FailureDomain string
		Region        string
		// Preference chooses between goals that conflict.
		Preference Preference
		// Seeds are the peer addresses of nodes that this node contacts to join the
		// fleet.
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
		Addresses []netip.AddrPort
		// CallsPerSecond limits the rate of this node's calls. Calls beyond it fail
		// without being sent.
		CallsPerSecond float64
		CallTimeout    time.Duration
	}

	// Platform configures access to the platform's API, which lists VMs, starts
	// and stops upstreams and takes usage reports.
	Platform struct {
		Addresses   []netip.AddrPort
		CallTimeout time.Duration
	}

	// TLS holds the paths of PEM files. A listener without a certificate uses
	// plain TCP. Nodes verify each other's certificates against PeerAuthorities.
	TLS struct {
		CallerCertificate   string
		CallerKey           string
		PeerCertificate     string
		PeerKey             string
		PeerAuthorities     string
		OperatorCertificate string
		OperatorKey         string
	}

	// Limits bounds the size and duration of callers' requests.
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
		Suspicion        time.Duration // how long a node is suspected before it is removed
		Lease            time.Duration // time to live of leases in the store, renewed while they are held
		RevisionCompare  time.Duration // between comparisons of the configuration revision with a peer
		KeyConfirmation  time.Duration // without confirmation of the configuration until API keys may be refused
		UsageWindow      time.Duration
		UsageLateness    time.Duration // after a window's end until it is frozen
		ClaimRetention   time.Duration // how long outcomes of requests with an idempotency key are kept
		Quarantine       time.Duration // how long poison requests are refused
		ListenerWithdraw time.Duration // between failing the readiness check and closing the listeners
		ShutdownDeadline time.Duration // for requests in flight, after SIGTERM
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
	source := fleet.Decode("settings", nil, &Settings{})
	s.check(source)
	return source.SortedProblems()
}
