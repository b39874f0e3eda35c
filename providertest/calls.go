package providertest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/provider"
)

// The kinds of Record.
const (
	Start Kind = "Start"
	Stop  Kind = "Stop"
	Usage Kind = "Usage"
)

type (
	// Kind says what a Record is of.
	Kind string

	// Record is one order or report that reached the platform.
	Record struct {
		Kind Kind
		At   time.Time
		// One of the three is set.
		Start provider.StartOrder
		Stop  provider.StopOrder
		Usage provider.UsageReport
		// Repeat means that it had taken effect before.
		Repeat bool
		Err    error
	}

	// applied is what a token stands for.
	applied struct {
		content any // the order without its epoch
		vms     []string
		err     error
	}

	faults struct {
		down  bool
		delay time.Duration
		lose  int
	}
)

// SetDown makes all calls fail without effect until it is set to false.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
}

// SetDelay delays each call before it takes effect.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = delay
}

// SetStartDelay changes the time from an order until its upstreams are live.
func (s *Server) SetStartDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.StartDelay = delay
}

// DropResponses makes the next n orders and reports take effect and then fail
// with an unknown outcome.
func (s *Server) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lose = n
}

// Records returns all orders and reports that reached the platform, in order.
func (s *Server) Records() (records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}

// Violations describes the calls that a correct fleet never makes: a token or a
// usage window with other content, a first order of an epoch below one that
// gave orders in the domain, and the same VM stopped by two tokens.
func (s *Server) Violations() (conflicts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.conflicts)
}

// ListCalls returns how often the list was read.
func (s *Server) ListCalls() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// VMs implements provider.Client.
func (s *Server) VMs(ctx context.Context) (vms []provider.VM, err error) {
	return call(ctx, s, false, func() (vms []provider.VM, err error) {
		s.lists++
		return s.lagging(), nil
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

// Start implements provider.Client.
func (s *Server) Start(ctx context.Context, order provider.StartOrder) (started []provider.VM, err error) {
	return call(ctx, s, true, func() (started []provider.VM, err error) {
		content := order
		content.Epoch = 0
		done, repeat, err := s.once(order.Token, order.FailureDomain, order.Epoch, content, func() ([]string, error) {
			return s.start(order)
		})
		s.log = append(s.log, Record{Kind: Start, At: time.Now(), Start: order, Repeat: repeat, Err: err})
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
		_, repeat, err := s.once(order.Token, order.FailureDomain, order.Epoch, content, func() ([]string, error) {
			for _, record := range s.log {
				if record.Kind == Stop && record.Stop.VM == order.VM && record.Stop.Token != order.Token {
					s.conflicts = append(s.conflicts, fmt.Sprintf("%s stopped by %q and %q", order.VM, record.Stop.Token, order.Token))
				}
			}
			// The end is asynchronous, since it takes the lock again.
			s.after(0, func() { s.end(order.VM) })
			return nil, nil
		})
		s.log = append(s.log, Record{Kind: Stop, At: time.Now(), Stop: order, Repeat: repeat, Err: err})
		return none, err
	})
	return err
}

// ReserveWeights implements provider.Client.
func (s *Server) ReserveWeights(ctx context.Context, request provider.WeightsRequest) (wait time.Duration, err error) {
	return call(ctx, s, false, func() (wait time.Duration, err error) {
		now := time.Now()
		switch {
		case s.granted[request.Token]:
		case now.Before(s.weightsAt):
			wait = s.weightsAt.Sub(now)
		default:
			s.granted[request.Token] = true
			s.weightsAt = now.Add(s.options.WeightsEvery)
		}
		return wait, nil
	})
}

// ReportUsage implements provider.Client.
func (s *Server) ReportUsage(ctx context.Context, report provider.UsageReport) (err error) {
	_, err = call(ctx, s, true, func() (none struct{}, err error) {
		report.Start = report.Start.UTC()
		key := window{report.Workspace, report.Start}
		billed, repeat := s.usage[key]
		switch {
		case !repeat:
			s.usage[key] = report
		case billed != report:
			s.conflicts = append(s.conflicts, fmt.Sprintf("usage of %s at %s: %+v after %+v", report.Workspace, report.Start, report, billed))
			err = provider.ErrConflict
		}
		s.log = append(s.log, Record{Kind: Usage, At: time.Now(), Usage: report, Repeat: repeat, Err: err})
		return none, err
	})
	return err
}

// call applies the faults to one call. Only calls with an effect lose answers.
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
			// The call is under way: as over a network, it takes effect later.
			if effect {
				s.after(0, func() {
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
	if effect && s.faults.lose > 0 {
		s.faults.lose--
		return result, provider.ErrUnknownOutcome
	}
	return outcome, err
}

// once applies an order unless its token is known. The caller holds mu.
func (s *Server) once(token, domain string, epoch uint64, content any, apply func() ([]string, error)) (done applied, repeat bool, err error) {
	if done, repeat = s.tokens[token]; repeat {
		if done.content != content {
			s.conflicts = append(s.conflicts, fmt.Sprintf("token %q: %+v after %+v", token, content, done.content))
			return applied{}, true, provider.ErrConflict
		}
		return done, true, done.err
	}
	if epoch < s.epochs[domain] {
		s.conflicts = append(s.conflicts, fmt.Sprintf("order %q of epoch %d after epoch %d", token, epoch, s.epochs[domain]))
	}
	s.epochs[domain] = max(s.epochs[domain], epoch)
	done.content = content
	done.vms, done.err = apply()
	s.tokens[token] = done
	return done, false, done.err
}

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
		name := fmt.Sprintf("%s-%d", order.FailureDomain, len(s.order)+1)
		s.insert(provider.VM{
			Name: name, Kind: provider.Upstream, FailureDomain: order.FailureDomain, Capacity: order.Capacity,
			State: provider.Starting, Token: order.Token,
		})
		names = append(names, name)
		s.after(s.options.StartDelay, func() { s.live(name) })
	}
	s.changed()
	return names, nil
}
