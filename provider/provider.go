// Package provider talks to the platform that the fleet runs on: the list of
// VMs, orders to start and stop upstreams, the weight store's rate limit, and
// usage reports.
//
// # Usage
//
//	client := provider.NewClient(network, address, provider.Options{})
//	started, err := client.Start(ctx, provider.StartOrder{
//		Token: token, FailureDomain: "limpopo-a", Capacity: provider.Reclaimable, Count: 2,
//	})
//	switch {
//	case errors.Is(err, provider.ErrNoneAvailable):  // nothing was started
//	case errors.Is(err, provider.ErrUnknownOutcome): // repeat it with the same token
//	}
//
// The token is written to the store before the order is sent, so that whoever
// repeats the order uses the same one.
package provider

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// What a VM is for.
const (
	Entry    VMKind = "Entry"
	Upstream VMKind = "Upstream"
)

// The kinds of capacity. The names are those of package fleet.
const (
	Reserved    CapacityType = "Reserved"
	Reclaimable CapacityType = "Reclaimable"
)

// The states of a VM.
const (
	Starting VMState = "Starting"
	Live     VMState = "Live"
	Leaving  VMState = "Leaving" // it ends after VM.Remaining
)

// Failures of a call.
const (
	// ErrNoneAvailable means that the failure domain has no capacity of the kind.
	// Nothing was started.
	ErrNoneAvailable = errors.ConstError("none available")
	// ErrConflict means that the token or the usage window is known with other
	// content. The call had no effect.
	ErrConflict = errors.ConstError("known with other content")
	// ErrInvalid means that the platform rejected the call. It had no effect.
	ErrInvalid = errors.ConstError("invalid call")
	// ErrUnavailable means that the call didn't take effect.
	ErrUnavailable = errors.ConstError("platform unavailable")
	// ErrUnknownOutcome means that the answer was lost. The call may have taken
	// effect: repeat it with the same token.
	ErrUnknownOutcome = errors.ConstError("outcome unknown")
)

type (
	// VMKind says what a VM is for.
	VMKind string
	// CapacityType is the kind of capacity that an upstream runs on.
	CapacityType string
	// VMState says whether a VM is usable.
	VMState string

	// VM is one machine of the fleet.
	VM struct {
		Name          string
		Kind          VMKind
		Address       netip.AddrPort
		FailureDomain string
		Capacity      CapacityType
		State         VMState
		// Remaining is the time until a leaving VM ends.
		Remaining time.Duration `json:",omitempty"`
		// Token is that of the order that started it.
		Token string `json:",omitempty"`
	}

	// StartOrder starts Count upstreams, or none. The same token again returns
	// the same VMs and starts nothing.
	StartOrder struct {
		Token         string
		FailureDomain string
		Capacity      CapacityType
		Count         int
		// Epoch is the sender's authority. It isn't part of what a token stands
		// for: a successor repeats the order with its own.
		Epoch uint64
	}

	// StopOrder ends one upstream at once.
	StopOrder struct {
		Token         string
		FailureDomain string
		VM            string
		Epoch         uint64 // as in StartOrder
	}

	// WeightsRequest asks for leave to load a model's weights onto one engine.
	// The same token again is granted without using up the rate.
	WeightsRequest struct {
		Token         string
		FailureDomain string
		Model         string
	}

	// UsageReport is the final usage of one workspace in one window. The platform
	// bills each (Workspace, Start) once. The same figures again are accepted
	// without effect, and others are refused with ErrConflict.
	UsageReport struct {
		Workspace        string
		Start            time.Time // of the window, in UTC
		Length           time.Duration
		Requests         int64
		PromptTokens     int64
		CachedTokens     int64
		CompletionTokens int64
		Milliseconds     int64 // time that the requests took
	}

	// Client talks to the platform. Implementations are safe for concurrent use.
	Client interface {
		// VMs returns the list of all VMs, which lags.
		VMs(ctx context.Context) (vms []VM, err error)
		// Upstreams returns the part of the list that has the upstreams of a failure
		// domain.
		Upstreams(ctx context.Context, failureDomain string) (vms []VM, err error)
		// Notices returns the VMs of a failure domain that are about to be
		// reclaimed. Unlike the list it doesn't lag, as the notice is only a few
		// seconds long.
		Notices(ctx context.Context, failureDomain string) (leaving []VM, err error)
		// Start starts upstreams and returns them. They become live later.
		Start(ctx context.Context, order StartOrder) (started []VM, err error)
		// Stop ends an upstream. One that has ended already isn't an error.
		Stop(ctx context.Context, order StopOrder) (err error)
		// ReserveWeights returns how long to wait before asking again. Zero means
		// that the load may begin.
		ReserveWeights(ctx context.Context, request WeightsRequest) (wait time.Duration, err error)
		// ReportUsage reports a window.
		ReportUsage(ctx context.Context, report UsageReport) (err error)
	}
)
