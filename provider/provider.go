// Package provider is a client of the platform that the fleet runs on. It lists
// VMs, starts and stops upstreams, reserves loads of model weights under the rate
// limit of the weight store, and reports usage. Packages node, usage, capacity
// and planner use it. Package entry uses the API of another platform, see package
// platform.
//
// # Usage
//
//	client := provider.NewClient(network, address, provider.Options{})
//	started, err := client.Start(ctx, provider.StartOrder{
//		Token: token, FailureDomain: "limpopo-a", Capacity: provider.Reclaimable, Count: 2,
//	})
//	switch {
//	case errors.Is(err, provider.ErrNoneAvailable):  // nothing was started
//	case errors.Is(err, provider.ErrUnknownOutcome): // retry with the same token
//	}
//
// The caller writes the token to the store before it sends the order, so that any
// process that retries the order uses the same token.
//
// The client doesn't retry calls. The error of a call says whether the call had no
// effect or may have had one, and so what its caller may do next.
package provider

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// Kinds of VMs.
const (
	Entry    VMKind = "Entry"
	Upstream VMKind = "Upstream"
)

// Types of capacity. Package fleet uses the same names.
const (
	Reserved    CapacityType = "Reserved"
	Reclaimable CapacityType = "Reclaimable"
)

// States of a VM. A VM that has ended is no longer listed.
const (
	Starting VMState = "Starting"
	Live     VMState = "Live"
	Leaving  VMState = "Leaving" // the VM ends after VM.Remaining
)

// Errors of a call.
const (
	// ErrNoneAvailable means that the failure domain has no capacity of the type.
	// Nothing was started.
	ErrNoneAvailable = errors.ConstError("no capacity of this type available")
	// ErrConflict means that the platform already knows the token or the usage
	// window with different content. The call had no effect.
	ErrConflict = errors.ConstError("token or usage window already used with different content")
	// ErrInvalid means that the call was rejected as invalid. It had no effect.
	ErrInvalid = errors.ConstError("invalid call to the platform")
	// ErrUnavailable means that the platform couldn't be reached or refused the
	// call for now. The call had no effect.
	ErrUnavailable = errors.ConstError("platform unavailable")
	// ErrUnknownOutcome means that the response was lost or unusable. The call may
	// have taken effect: retry it with the same token, or a usage report with the
	// same totals. After a call that only reads, it just means that there is no
	// result.
	ErrUnknownOutcome = errors.ConstError("outcome unknown")
)

type (
	// VMKind says what a VM is for.
	VMKind string
	// CapacityType is the kind of capacity that an upstream runs on.
	CapacityType string
	// VMState says whether a VM is usable.
	VMState string

	// VM is a virtual machine of the fleet.
	VM struct {
		Name          string
		Kind          VMKind
		Address       netip.AddrPort
		FailureDomain string
		Capacity      CapacityType
		State         VMState
		// Remaining is the time until a leaving VM ends.
		Remaining time.Duration `json:",omitempty"`
		// Token is the token of the order that started the VM.
		Token string `json:",omitempty"`
	}

	// StartOrder starts Count upstreams, or none. An order with a known token
	// starts nothing and returns the same VMs as before.
	StartOrder struct {
		Token         string
		FailureDomain string
		Capacity      CapacityType
		Count         int
		// Epoch is the lease epoch of the sender. It may differ between orders
		// with the same token, because the next lease holder retries an order
		// with its own epoch. No error of this package stands for a stale epoch.
		Epoch uint64
	}

	// StopOrder stops one upstream immediately.
	StopOrder struct {
		Token         string
		FailureDomain string
		VM            string
		Epoch         uint64 // as in StartOrder
	}

	// WeightsRequest asks for permission to load the weights of a model onto one
	// engine. A repeated request with the same token is granted again and doesn't
	// count toward the rate limit.
	WeightsRequest struct {
		Token         string
		FailureDomain string
		Model         string
	}

	// UsageReport is the final usage of one workspace in one window. The platform
	// bills each (Workspace, Start) once. A repeated report with the same totals
	// is accepted without effect; one with different totals fails with
	// ErrConflict.
	UsageReport struct {
		Workspace        string
		Start            time.Time // of the window, in UTC
		Length           time.Duration
		Requests         int64
		PromptTokens     int64
		CachedTokens     int64
		CompletionTokens int64
		Milliseconds     int64 // sum of the request durations
	}

	// Client calls the platform. Implementations are safe for concurrent use.
	Client interface {
		// VMs returns the list of all VMs. The list lags behind the actual state.
		VMs(ctx context.Context) (vms []VM, err error)
		// Upstreams returns the upstreams of a failure domain from the same list.
		Upstreams(ctx context.Context, failureDomain string) (vms []VM, err error)
		// Notices returns the VMs of a failure domain that are about to be
		// reclaimed. It doesn't lag like the list does, because the notice period
		// is only a few seconds.
		Notices(ctx context.Context, failureDomain string) (leaving []VM, err error)
		// Start starts upstreams and returns them. They become live later.
		Start(ctx context.Context, order StartOrder) (started []VM, err error)
		// Stop stops an upstream. It succeeds if the upstream has already ended.
		Stop(ctx context.Context, order StopOrder) (err error)
		// ReserveWeights returns how long to wait before the request is sent
		// again. Zero means that the weights may be loaded now.
		ReserveWeights(ctx context.Context, request WeightsRequest) (wait time.Duration, err error)
		// ReportUsage reports the usage of one workspace in one window.
		ReportUsage(ctx context.Context, report UsageReport) (err error)
	}
)
