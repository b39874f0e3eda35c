// Package settings reads a node's own settings file. What the fleet does is
// configured for all nodes in package fleet; these settings say where one node
// is, what it listens on, whom it talks to, and its limits and intervals.
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
	// PreferGoodput favours the share of all requests that meet their objective.
	PreferGoodput Preference = "Goodput"
	// PreferWorstServed favours the worst-served workspace, and spends more.
	PreferWorstServed Preference = "WorstServed"
)

type (
	// Preference names a preset of the weights of decisions.
	Preference string

	// Settings are the settings of one node.
	Settings struct {
		Name          string
		FailureDomain string
		Region        string
		// Preference chooses what decisions favour when they can't have both.
		Preference Preference
		// Seeds are the peer addresses of some nodes to join the fleet through.
		Seeds []netip.AddrPort
		// FatalInvariants makes a broken invariant end the process. Tests set it.
		FatalInvariants bool

		Listen    Listen
		Operator  Operator
		Store     Store
		Platform  Platform
		TLS       TLS
		Limits    Limits
		Intervals Intervals
	}

	// Listen are the addresses of the node's listeners. Peers dial Peer, so it
	// is an address of this VM.
	Listen struct {
		Caller   netip.AddrPort
		Peer     netip.AddrPort
		Operator netip.AddrPort
	}

	// Operator is the access to the operator listener.
	Operator struct {
		// CredentialSHA256 is the hash of the credential in hexadecimal.
		CredentialSHA256 string
	}

	// Store is the access to the key-value service.
	Store struct {
		Addresses []netip.AddrPort
		// CallsPerSecond is the budget of this node; further calls fail.
		CallsPerSecond float64
		CallTimeout    time.Duration
	}

	// Platform is the access to the platform's interfaces.
	Platform struct {
		Addresses   []netip.AddrPort
		CallTimeout time.Duration
	}

	// TLS holds the paths of PEM files. Listeners without a certificate are
	// plain TCP. Peers check each other's certificates against PeerAuthorities.
	TLS struct {
		CallerCertificate   string
		CallerKey           string
		PeerCertificate     string
		PeerKey             string
		PeerAuthorities     string
		OperatorCertificate string
		OperatorKey         string
	}

	// Limits bound what a caller may use.
	Limits struct {
		HeaderBytes       int
		BodyBytes         int64 // also bounds the MaxBodyBytes of routes
		HeaderReadTimeout time.Duration
		BodyReadTimeout   time.Duration
		IdleTimeout       time.Duration // of a connection without a request
		WriteTimeout      time.Duration // of each write to a slow caller
		RequestDeadline   time.Duration // of the model API
	}

	// Intervals are the periods and time bounds of work between processes.
	Intervals struct {
		Probe            time.Duration // between membership probes
		ProbeTimeout     time.Duration
		Suspicion        time.Duration // until a suspected node is removed
		Lease            time.Duration // time to live of leases in the store
		RevisionCompare  time.Duration // between comparisons of revisions with a peer
		KeyConfirmation  time.Duration // without contact until keyed work is refused
		UsageWindow      time.Duration
		UsageLateness    time.Duration // after a window's end until it is frozen
		ClaimRetention   time.Duration // of the outcomes of claimed calls
		Quarantine       time.Duration // of poison requests
		ListenerWithdraw time.Duration // from readiness off until the listeners close
		ShutdownDeadline time.Duration // for running answers after SIGTERM
	}
)

// Parse reads a settings file and reports all of its problems. Settings with
// problems must not be used.
func Parse(file string, text []byte) (settings *Settings, problems []fleet.Problem) {
	settings = &Settings{}
	source := fleet.Decode(file, text, settings)
	settings.check(source)
	settings.FillDefaults()
	return settings, source.SortedProblems()
}

// Check reports the problems of settings that a program built.
func (s *Settings) Check() (problems []fleet.Problem) {
	source := fleet.Decode("settings", nil, &Settings{})
	s.check(source)
	return source.SortedProblems()
}
