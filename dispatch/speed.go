package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavagauge/guavagauge/discovery"
	"github.com/guavagauge/guavagauge/rendezvous"
	"github.com/guavagauge/guavagauge/routing"
	"github.com/guavagauge/guavagauge/speed"
)

const (
	// domainRoundTrip and regionRoundTrip are the round trips of the network to another
	// failure domain of the region and to another region: twice the latencies of 1.4 and
	// 30 ms that the platform states.
	domainRoundTrip = 2800 * time.Microsecond
	regionRoundTrip = 60 * time.Millisecond
	// pacedTransferFactor replaces Costs.TransferFactor for services whose transfers are
	// learned: the surcharge needn't make up for transfers that take longer than usual.
	pacedTransferFactor = 0.5
	// spreadTime and spreadDivisor set how much longer than at the fastest upstream a
	// node lets work take at the one that it prefers: at most spreadTime and the
	// expected time divided by spreadDivisor. Loads of other nodes arrive 12 to 100 ms
	// late, so nodes with the same preferences choose the same idle upstream: in runs
	// of two fleets, 36 and 55 % of the prefills met another one there, mostly sent less
	// than 20 ms before by a node of the domain, while half of the engines were idle. In trials with
	// simulated engines, 40 ms and 2 had the fewest late long prompts.
	spreadTime    = 40 * time.Millisecond
	spreadDivisor = 2
	// remoteSpreadWeight keeps preferences from sending work to other failure domains, whose
	// loads arrive 250 ms late. In trials, a third of the prompts went there with 0, 7 %
	// with 0.5 and 1 to 2 % with 1, which also had the fewest late long prompts.
	remoteSpreadWeight = 1
	// plainSpreadDivisor replaces spreadTime and spreadDivisor for requests without a
	// prompt: half of a slot's share of the job time at an upstream with four slots.
	plainSpreadDivisor = 8
	// sharedSpreadTime replaces spreadTime at upstreams that serve several requests at
	// the same time. It is as much as five more running requests cost.
	sharedSpreadTime = 10 * time.Millisecond
	// domainReportInterval is the time between two reports of an upstream to other
	// failure domains, which send it little. Its figure is outdated there in any case.
	domainReportInterval = 4 * time.Second
	// maxSpeedReports bounds the reports in a message to about 8 KB.
	maxSpeedReports = 200
)

// initSpeed sets the model of an upstream's speed, which knows nothing of it yet.
func (d *Dispatcher) initSpeed(u *upstream, registered discovery.Upstream) {
	model := d.speeds[registered.Service]
	if model == nil {
		model = speed.New()
		if d.options.LearnSpeeds {
			model.Activate()
		}
		d.speeds[registered.Service] = model
	}
	u.speed, u.spreadWeight = model.NewUpstream(), 0
	if d.options.Node != "" {
		weight := rendezvous.Weight(rendezvous.Hash(d.options.Node), rendezvous.Hash(registered.ID))
		u.spreadWeight = float64(weight>>11) / (1 << 53)
	}
	if registered.FailureDomain != d.options.FailureDomain {
		u.spreadWeight += remoteSpreadWeight
	}
}

// spread returns the surcharge for sending a prefill of an expected duration to an
// upstream, or for decoding there, which differs between nodes.
func (u *upstream) spread(expected time.Duration) (surcharge time.Duration) {
	limit := sharedSpreadTime
	if u.Stage == discovery.Prefill {
		limit = spreadTime
	}
	return time.Duration(u.spreadWeight * float64(limit+expected/spreadDivisor))
}

// networkSurcharge returns the cost of reaching an upstream that expected times don't
// contain.
func (u *upstream) networkSurcharge() (cost time.Duration) { return max(0, u.networkCost-u.roundTrip) }

func (s *engineState) networkSurcharge() (cost time.Duration) {
	if s.pace.Active() {
		return s.upstream.networkSurcharge()
	}
	return s.upstream.networkCost
}

// pacedJobTime returns the expected duration of one more job without a prompt at an
// upstream whose speed is known.
func (d *Dispatcher) pacedJobTime(u *upstream, pace speed.Pace, now time.Time) (expected time.Duration, basis speed.Basis) {
	jobTime := d.speeds[u.Service].JobTime()
	usual := u.crowdedJobTime(jobTime, now)
	basis = speed.Basis{Kind: speed.Plain, Usual: usual, RoundTrip: u.roundTrip, Crowding: float64(usual) / float64(jobTime)}
	return pace.Expect(&basis), basis
}

// handoffTime returns the expected time from the end of a prefill at one engine, which
// may have left, to the first event from another.
func (d *Dispatcher) handoffTime(from *upstream, to *engineState, tokens int, engine *routing.Engine) (expected time.Duration, basis speed.Basis) {
	overhead, transfer := d.options.Costs.HandoffOverhead, time.Duration(0)
	if from != nil {
		transfer = d.transferTime(from, to.upstream, tokens, engine)
	}
	if !to.pace.Active() {
		return overhead + transfer + to.wait, speed.Basis{}
	}
	basis = speed.Basis{
		Kind: speed.Handoff, Usual: overhead, Transfer: transfer, HasTransfer: from != nil && from != to.upstream,
		Wait: to.wait, RoundTrip: to.upstream.roundTrip,
	}
	return to.pace.Expect(&basis), basis
}

// SpeedReports returns what to tell the other nodes of the failure domain of upstreams
// that answered this node within a period.
func (d *Dispatcher) SpeedReports(now time.Time, period time.Duration) (reports []speed.Report) {
	return d.speedReports(func(u *upstream) (report speed.Report, ok bool) { return u.speed.Report(now, period) })
}

// DomainSpeedReports returns what to tell other failure domains of upstreams that
// answered any node of this one. Each upstream is reported once an interval at most,
// since traffic between domains is billed by volume.
func (d *Dispatcher) DomainSpeedReports(now time.Time) (reports []speed.Report) {
	return d.speedReports(func(u *upstream) (report speed.Report, ok bool) {
		return u.speed.DomainReport(now, domainReportInterval)
	})
}

// speedReports returns the newest reports if there are too many for a message.
func (d *Dispatcher) speedReports(reportOf func(u *upstream) (report speed.Report, ok bool)) (reports []speed.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		if report, ok := reportOf(u); ok {
			report.Upstream = u.ID
			reports = append(reports, report)
		}
	}
	if len(reports) > maxSpeedReports {
		slices.SortFunc(reports, func(a, b speed.Report) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
		reports = reports[:maxSpeedReports]
	}
	return reports
}

// ApplySpeedReports learns from what a node of a failure domain reported.
func (d *Dispatcher) ApplySpeedReports(domain, reporter string, reports []speed.Report, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, report := range reports {
		if u := d.upstreams[report.Upstream]; u != nil {
			report.Reporter, report.Peer = reporter, domain == d.options.FailureDomain
			u.speed.Observe(report, now)
		}
	}
}

// Speed returns the factor of an upstream in percent: how long work takes there,
// compared with the computed time. It returns false if the speeds of the service aren't
// known.
func (d *Dispatcher) Speed(id string, now time.Time) (factorPercent int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil || !u.speed.Pace(now).Active() {
		return 0, false
	}
	_, factorPercent = u.speed.Percent(now)
	return factorPercent, true
}

// IgnoreTime keeps the duration of the job from being learned from, because it says
// nothing of the upstream's speed.
func (j *Job) IgnoreTime() {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	j.choice.basis = speed.Basis{}
}

// Deviation compares the time until the prompt was prefilled with the expected one. It
// returns false if the prefill hasn't ended or the speed of the upstream isn't known.
func (j *Job) Deviation(now time.Time) (deviation speed.Deviation, ok bool) {
	j.dispatcher.mu.Lock()
	defer j.dispatcher.mu.Unlock()
	if j.upstream == nil || j.prefillTook == 0 {
		return speed.Deviation{}, false
	}
	return j.upstream.speed.Compare(speed.Answer{Basis: j.choice.basis, Took: j.prefillTook}, now)
}
