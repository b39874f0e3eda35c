package providertest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/provider"
)

// The kinds of records.
const (
	Start Kind = "Start"
	Stop  Kind = "Stop"
	Usage Kind = "Usage"
)

type (
	// Kind is the kind of call that a Record holds.
	Kind string

	// Record is one order or usage report that reached the platform.
	Record struct {
		Kind Kind
		At   time.Time
		// Only the field named by Kind is set.
		Start provider.StartOrder
		Stop  provider.StopOrder
		Usage provider.UsageReport
		// Repeat means that an earlier call had the same token or usage window.
		Repeat bool
		Err    error
	}

	// appliedOrder is the first order with a token, and its result.
	appliedOrder struct {
		content any // the order without its epoch
		vms     []string
		err     error
	}

	faults struct {
		down            bool
		delay           time.Duration
		responsesToDrop int
	}
)

// SetDown makes all calls fail without effect, with provider.ErrUnavailable, until
// it is called with false.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
}

// SetDelay delays each call before it takes effect. A call whose context ends
// during the delay fails with provider.ErrUnknownOutcome; an order or usage report
// takes effect all the same.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = delay
}

// SetStartDelay sets the time from an order until its upstreams are live.
func (s *Server) SetStartDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.StartDelay = delay
}

// DropResponses makes the next n orders and usage reports take effect and then
// fail with provider.ErrUnknownOutcome.
func (s *Server) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.responsesToDrop = n
}

// Records returns all orders and usage reports that reached the platform, in the
// order of arrival.
func (s *Server) Records() (records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Violations describes the calls that a correct fleet never makes: a token or
// usage window that is used again with different content, a new order with a lower
// epoch than an earlier one for its failure domain, and orders with different
// tokens that stop the same VM.
func (s *Server) Violations() (violations []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// ListCalls returns how often the VM list was read, by VMs or Upstreams.
func (s *Server) ListCalls() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls
}

// VMs implements provider.Client.
func (s *Server) VMs(ctx context.Context) (vms []provider.VM, err error) {
	return call(ctx, s, false, func() (vms []provider.VM, err error) {
		s.listCalls++
		return s.laggingList(), nil
	})
}

// Upstreams implements provider.Client.
func (s *Server) Upstreams(ctx context.Context, failureDomain string) (vms []provider.VM, err error) {
	vms, err = s.VMs(ctx)
	return slices.DeleteFunc(vms, func(vm provider.VM) bool {
		return vm.FailureDomain != failureDomain || vm.Kind != provider.Upstream
	}), err
}

// Notices implements provider.Client.
func (s *Server) Notices(ctx context.Context, failureDomain string) (leaving []provider.VM, err error) {
	return call(ctx, s, false, func() (leaving []provider.VM, err error) {
		for _, vm := range views(s.current(), time.Now()) {
			if vm.FailureDomain == failureDomain && vm.State == provider.Leaving {
				leaving = append(leaving, vm)
			}
		}
		return leaving, nil
	})
}

// Start implements provider.Client. A repeated order returns its VMs as starting,
// whatever their state is by then.
func (s *Server) Start(ctx context.Context, order provider.StartOrder) (started []provider.VM, err error) {
	return call(ctx, s, true, func() (started []provider.VM, err error) {
		content := order
		content.Epoch = 0
		done, repeat, err := s.applyOnce(order.Token, order.FailureDomain, order.Epoch, content, func() ([]string, error) {
			return s.start(order)
		})
		s.records = append(s.records, Record{Kind: Start, At: time.Now(), Start: order, Repeat: repeat, Err: err})
		for _, name := range done.vms {
			started = append(started, provider.VM{
				Name: name, Kind: provider.Upstream, FailureDomain: order.FailureDomain, Capacity: order.Capacity,
				State: provider.Starting, Token: order.Token,
			})
		}
		return started, err
	})
}

// Stop implements provider.Client.
func (s *Server) Stop(ctx context.Context, order provider.StopOrder) (err error) {
	_, err = call(ctx, s, true, func() (none struct{}, err error) {
		content := order
		content.Epoch = 0
		_, repeat, err := s.applyOnce(order.Token, order.FailureDomain, order.Epoch, content, func() ([]string, error) {
			for _, record := range s.records {
				if record.Kind == Stop && record.Stop.VM == order.VM && record.Stop.Token != order.Token {
					s.violations = append(s.violations, fmt.Sprintf("VM %s stopped with tokens %q and %q", order.VM, record.Stop.Token, order.Token))
				}
			}
			// removeVM runs asynchronously because it locks mu again.
			s.runAfter(0, func() { s.removeVM(order.VM) })
			return nil, nil
		})
		s.records = append(s.records, Record{Kind: Stop, At: time.Now(), Stop: order, Repeat: repeat, Err: err})
		return none, err
	})
	return err
}

// ReserveWeights implements provider.Client.
func (s *Server) ReserveWeights(ctx context.Context, request provider.WeightsRequest) (wait time.Duration, err error) {
	return call(ctx, s, false, func() (wait time.Duration, err error) {
		now := time.Now()
		switch {
		case s.grantedTokens[request.Token]:
		case now.Before(s.nextWeights):
			wait = s.nextWeights.Sub(now)
		default:
			s.grantedTokens[request.Token] = true
			s.nextWeights = now.Add(s.options.WeightsEvery)
		}
		return wait, nil
	})
}

// ReportUsage implements provider.Client.
func (s *Server) ReportUsage(ctx context.Context, report provider.UsageReport) (err error) {
	_, err = call(ctx, s, true, func() (none struct{}, err error) {
		report.Start = report.Start.UTC()
		key := usageWindow{report.Workspace, report.Start}
		billed, repeat := s.usage[key]
		switch {
		case !repeat:
			s.usage[key] = report
		case billed != report:
			s.violations = append(s.violations, fmt.Sprintf("usage reports of %s for the window at %s differ: %+v after %+v", report.Workspace, report.Start, report, billed))
			err = provider.ErrConflict
		}
		s.records = append(s.records, Record{Kind: Usage, At: time.Now(), Usage: report, Repeat: repeat, Err: err})
		return none, err
	})
	return err
}

// call runs one call with the injected faults. effect marks orders and usage reports:
// only they lose their responses, and take effect if ctx ends during the delay.
// Without a delay, ctx isn't checked.
func call[T any](ctx context.Context, s *Server, effect bool, apply func() (T, error)) (result T, err error) {
	s.mu.Lock()
	delay := s.faults.delay
	s.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			// As over a network, a request that was sent still takes effect.
			if effect {
				s.runAfter(0, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					if !s.faults.down {
						apply()
					}
				})
			}
			return result, provider.ErrUnknownOutcome
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.down {
		return result, provider.ErrUnavailable
	}
	outcome, err := apply()
	if effect && s.faults.responsesToDrop > 0 {
		s.faults.responsesToDrop--
		return result, provider.ErrUnknownOutcome
	}
	return outcome, err
}

// applyOnce applies an order, or returns the earlier result if its token was used
// before, also if that is an error. An order with a lower epoch than an earlier one
// is applied all the same and recorded as a violation. The caller holds mu.
func (s *Server) applyOnce(token, domain string, epoch uint64, content any, apply func() ([]string, error)) (done appliedOrder, repeat bool, err error) {
	if done, repeat = s.ordersByToken[token]; repeat {
		if done.content != content {
			s.violations = append(s.violations, fmt.Sprintf("token %q reused for another order: %+v after %+v", token, content, done.content))
			return appliedOrder{}, true, provider.ErrConflict
		}
		return done, true, done.err
	}
	if epoch < s.epochs[domain] {
		s.violations = append(s.violations, fmt.Sprintf("order %q with epoch %d accepted after epoch %d", token, epoch, s.epochs[domain]))
	}
	s.epochs[domain] = max(s.epochs[domain], epoch)
	done.content = content
	done.vms, done.err = apply()
	s.ordersByToken[token] = done
	return done, false, done.err
}

// start starts upstreams. The caller holds mu.
func (s *Server) start(order provider.StartOrder) (names []string, err error) {
	if order.Count <= 0 || order.Token == "" || order.FailureDomain == "" {
		return nil, provider.ErrInvalid
	}
	key := pool{order.FailureDomain, order.Capacity}
	if left, limited := s.available[key]; limited {
		if left < order.Count {
			return nil, provider.ErrNoneAvailable
		}
		s.available[key] = left - order.Count
	}
	for range order.Count {
		name := fmt.Sprintf("%s-%d", order.FailureDomain, len(s.names)+1)
		s.insert(provider.VM{
			Name: name, Kind: provider.Upstream, FailureDomain: order.FailureDomain, Capacity: order.Capacity,
			State: provider.Starting, Token: order.Token,
		})
		names = append(names, name)
		s.runAfter(s.options.StartDelay, func() { s.makeLive(name) })
	}
	s.recordListing()
	return names, nil
}
