// Package speed estimates how long work takes on an upstream at present. Upstreams
// of some services share their VMs with others, and say with each answer how much
// longer than usual work takes there. A Model learns from the answers of a service
// how long work takes beside what is computed for it; an Upstream learns, from its
// figures and its answers, the factor by which work on it takes longer. The package
// uses neither the network nor a clock: the time is an argument. It isn't safe for
// concurrent use; package dispatch holds its lock.
//
// The time from sending a request to its first event, or to the end of a separate
// prefill, is modelled as
//
//	fixed time of the kind of work + wait + transfer + factor of the upstream x usual time
//
// The usual time is what package dispatch computes from the tokens with its constants.
// The fixed time (network, start of the engine), the duration of transfers and the
// prior of the factor are learned for each service. The factor has a lasting part,
// learned from the answers of the upstream by a regression on its figure, and a
// passing part, by which the newest figure differs from the usual one.
//
// Failures affect the estimates as follows:
//   - Before the first figure of a service, the model is inactive: Pace returns the
//     usual times unchanged.
//   - A figure loses its passing part within figureMemory, and an upstream without
//     answers for answerTTL gets the factor of its service. Lost reports only make
//     the model older.
//   - A figure that answers don't follow loses its slope in the regression. A constant
//     one, however false, is made up for by the intercept.
//   - Absurd figures and reports are ignored or reduced to the bounds of a factor, and
//     one answer has a bounded effect.
//
// # Usage
//
//	model := speed.New()
//	upstream := model.NewUpstream()
//	upstream.Observe(speed.Figure{Percent: 160}, now)
//	basis := speed.Basis{Kind: speed.Prefill, Usual: usual}
//	expected := upstream.Pace(now).Expect(&basis)
//	upstream.Observe(speed.Answer{Basis: basis, Took: took}, now)
//	report, ok := upstream.Report(now, period)
//	other.Observe(report, now)
package speed

import (
	"math"
	"time"
)

// Kinds of work.
const (
	// Prefill is a separate prefill.
	Prefill Kind = iota + 1
	// Generation is a prefill at an engine that decodes as well.
	Generation
	// Handoff is the start of decoding with the KV cache of a separate prefill.
	Handoff
	// Plain is a request without a prompt.
	Plain

	kinds
)

const (
	// MaxFactor bounds factors, as do 1/MaxFactor and the bounds of figures.
	MaxFactor    = 8
	maxLogFactor = 2.0794415416798357 // natural logarithm of MaxFactor

	// figureMemory is how long neighbours on a VM slow it down, as measured. The
	// passing part of a figure falls to 0 within it.
	figureMemory = 600 * time.Millisecond
	// usualFigureMemory is the time constant of an upstream's usual figure.
	usualFigureMemory = 5 * time.Second
	// figureTTL is how long the usual figure is used.
	figureTTL = 10 * time.Second
	// answerMemory is the time constant with which answers lose weight, and answerTTL
	// how long they are used.
	answerMemory = 30 * time.Second
	answerTTL    = time.Minute
	// refreshInterval is the time between computations of an upstream's factor without
	// observations.
	refreshInterval = 250 * time.Millisecond

	// upstreamAnswers and serviceAnswers are the numbers of answers after which an older
	// one counts 1/e in the regression of an upstream and in that of its service.
	upstreamAnswers = 24
	serviceAnswers  = 400
	// The prior counts as much as answers of these weights, and as figures with these
	// sums of squares.
	upstreamPriorAnswers = 1
	upstreamPriorSquares = 1
	servicePriorAnswers  = 2
	servicePriorSquares  = 4
	// fixedAnswers is the number of answers over which fixed times and transfers are
	// averaged. The prior counts as priorAnswers of them.
	fixedAnswers = 64
	priorAnswers = 4
	// maxFixed bounds the fixed time of a kind of work.
	maxFixed = 250 * time.Millisecond
	// fixedLimit bounds what one answer says of the fixed time, so that a wait that
	// isn't known has little effect.
	fixedLimit = 60 * time.Millisecond
	// startLimit bounds it for the fixed time without such waits, which comes near the
	// median.
	startLimit = 3 * time.Millisecond
	// minSkewShare is the least share of the work in the expected time of an answer from
	// which the skew is learned.
	minSkewShare = 0.7
	// factorLimit bounds the logarithm by which the factor of an answer differs from
	// the expected one. At first it is higher by firstFactorLimit.
	factorLimit      = 0.5
	firstFactorLimit = 1.5
	// engineStart is the prior of the fixed time: engines need 14 ms before their first
	// token, and the nodes and the network 6 ms.
	engineStart = 20 * time.Millisecond
	// handoffStart is the prior of the fixed time for the start of decoding, beside
	// the usual time that package dispatch assumes.
	handoffStart = 4 * time.Millisecond
	// TransferSetup is the time for starting a transfer of KV cache, as measured.
	TransferSetup = 4 * time.Millisecond
	// logUsualTransfer is the logarithm of the prior factor of transfers, 2: in runs of
	// two fleets they took 2 to 3 times as long as the bandwidth allows.
	logUsualTransfer = 0.6931471805599453
	// minTransferShare is how much of an answer's deviation counts for transfers even if
	// they are a small part of its expected time.
	minTransferShare = 0.25
	// maxReporters bounds the memory for what other nodes reported of an upstream. Beyond
	// it, their next reports count as those of new nodes.
	maxReporters = 1000
	// minTransfer is the least usual duration of a transfer from which the service's
	// transfers are learned.
	minTransfer = 3 * time.Millisecond
	// defaultJobTime is the prior of the duration of requests without a prompt.
	defaultJobTime = 50 * time.Millisecond
)

type (
	// Kind is a kind of work. Each has its own fixed time.
	Kind uint8

	// Model is the model of one service.
	Model struct {
		active bool
		// answers has those of all upstreams, and deviations by how much each deviated from
		// the mean of its upstream: upstreams may send different figures though they are
		// equally fast.
		answers, deviations fit
		line                line           // prior of an upstream
		fixed               [kinds]average // milliseconds
		start               [kinds]average // the same without waits that aren't known
		skew                average        // mean ratio of the work's duration to that by the line
		transfer            average        // logarithm of the factor
		transferFactor      float64
		jobTime             average // milliseconds
		accuracy            [classes]accuracy
	}

	// Upstream is the model of one upstream.
	Upstream struct {
		model *Model

		figure      float64 // logarithm of the newest one; 0 means as usual
		percent     int     // the same as the upstream sent it; 0 before the first
		figureAt    time.Time
		usualFigure float64 // moving average of figure

		answers        fit
		answeredAt     time.Time
		ownAt          time.Time          // of the last observation that isn't a Report
		domainAt       time.Time          // of the last observation in this node's failure domain
		domainReportAt time.Time          // of the last DomainReport
		ownWeight      float64            // of all answers to this node
		peerWeight     float64            // of all answers that other nodes of the domain reported
		heard          map[string]float64 // last Report.Answers by node

		line        line // of answers
		refreshedAt time.Time
		lasting     float64 // factor with the usual figure
		passing     float64 // factor with the newest figure, as a multiple of lasting
	}

	// Basis is what the expected time of an answer was computed from. The zero Basis
	// has no kind, and isn't learned from.
	Basis struct {
		Kind Kind
		// Usual is the usual time of the work, without wait and transfer.
		Usual time.Duration
		// Transfer is the usual duration of the transfer of KV cache, if HasTransfer.
		Transfer    time.Duration
		HasTransfer bool
		// Wait is the expected wait in queues, and RoundTrip that of the network beyond
		// a failure domain.
		Wait, RoundTrip time.Duration
		// Crowding is the number by which JobTime was multiplied for Usual, for other
		// requests at the upstream. It is only set for Plain.
		Crowding float64

		// expected is the sum, and work the part of it that depends on the upstream.
		expected, work time.Duration
		figure         float64 // in effect when the work was sent
	}

	// Pace is the speed of an upstream at one time.
	Pace struct {
		model     *Model        // nil if it is inactive
		lasting   float64       // see Upstream
		passing   float64       // see Upstream
		remaining time.Duration // expected duration of the passing part
		figure    float64
	}

	// Observation is what is learned from: a Figure, an Answer or a Report.
	Observation interface{ isObservation() }

	// Figure is how long work takes on the upstream's VM at present, where 100 means as
	// long as usual.
	Figure struct{ Percent int }

	// Answer is a first event or a complete answer that took a time since its request
	// was sent.
	Answer struct {
		Basis Basis
		Took  time.Duration
	}

	// Report is what another node knows of an upstream.
	Report struct {
		_        struct{} `cbor:",toarray"`
		Upstream string
		Percent  int   // newest figure; 0 if there is none
		AgeMs    int64 // of the figure
		// FactorPermille is the mean factor of the answers, and FigurePermille their mean
		// figure.
		FactorPermille, FigurePermille int
		// Answers is the weight of all answers since the start of the reporting node, in
		// thousandths. Reports of a node differ by what is new in them, so that repeated
		// and lost ones do no harm.
		Answers int64
		// Reporter is the name of the node, and Peer tells that it is of the same failure
		// domain. They aren't sent.
		Reporter string `cbor:"-"`
		Peer     bool   `cbor:"-"`
	}
)

func (Figure) isObservation() {}
func (Answer) isObservation() {}
func (Report) isObservation() {}

// New returns the model of a service, which is inactive until one of its upstreams
// has sent a figure.
func New() *Model {
	m := &Model{answers: fit{memory: serviceAnswers}, deviations: fit{memory: serviceAnswers}, line: line{slope: 1}}
	m.skew = average{mean: 1, count: priorAnswers, memory: fixedAnswers}
	m.transfer, m.transferFactor = average{mean: logUsualTransfer, count: priorAnswers, memory: fixedAnswers}, 2
	m.jobTime = average{mean: milliseconds(defaultJobTime), memory: fixedAnswers}
	for kind := range m.fixed {
		m.fixed[kind] = average{mean: milliseconds(engineStart), count: priorAnswers, memory: fixedAnswers}
	}
	m.fixed[Handoff].mean = milliseconds(handoffStart)
	m.fixed[Plain] = average{}
	m.start = m.fixed
	return m
}

// Active reports whether an upstream of the service has sent a figure.
func (m *Model) Active() (ok bool) { return m != nil && m.active }

// NewUpstream returns an upstream of the service.
func (m *Model) NewUpstream() *Upstream {
	return &Upstream{
		model: m, answers: fit{memory: upstreamAnswers}, heard: map[string]float64{},
		lasting: 1, passing: 1,
	}
}

// JobTime returns the usual duration of a request without a prompt.
func (m *Model) JobTime() (duration time.Duration) { return fromMilliseconds(m.jobTime.mean) }

// Transfer returns the expected duration of a transfer of KV cache that usually
// takes a time.
func (m *Model) Transfer(usual time.Duration) (duration time.Duration) {
	return TransferSetup + time.Duration(float64(usual)*m.transferFactor)
}

// Fixed returns the time for a kind of work that doesn't depend on its size.
func (m *Model) Fixed(kind Kind) (duration time.Duration) {
	return fromMilliseconds(m.fixed[kind].mean)
}

// Observe learns from an observation.
func (u *Upstream) Observe(observation Observation, now time.Time) {
	switch o := observation.(type) {
	case Figure:
		if o.Percent <= 0 {
			return
		}
		u.observeFigure(o.Percent, now)
		u.ownAt, u.domainAt = now, now
	case Answer:
		if o.Basis.Kind == 0 || !u.model.Active() {
			return
		}
		u.observeAnswer(o, now)
		u.ownAt, u.domainAt = now, now
	case Report:
		u.observeReport(o, now)
	}
	u.refresh(now)
}

// observeFigure records a figure that the upstream sent at a time.
func (u *Upstream) observeFigure(percent int, at time.Time) {
	if u.percent != 0 && !at.After(u.figureAt) {
		return
	}
	u.model.active = true
	figure := logOf(float64(percent) / 100)
	if u.percent == 0 {
		u.usualFigure = figure
	} else {
		// The figure before was in effect until now, for all that is known, but for at
		// most figureMemory.
		interval := min(at.Sub(u.figureAt), figureMemory)
		u.usualFigure += float64((figure - u.usualFigure) * (1 - math.Exp(-float64(interval)/float64(usualFigureMemory))))
	}
	u.figure, u.percent, u.figureAt = figure, percent, at
}

// observeAnswer learns the factor of the upstream, and the fixed time and the
// transfers of the service.
func (u *Upstream) observeAnswer(a Answer, now time.Time) {
	m, basis := u.model, &a.Basis
	m.accuracy[classOf(basis)].add(basis.expected, a.Took)
	if basis.Wait > basis.expected/2 || basis.Usual <= 0 {
		return // says more of the queue than of the upstream
	}
	excess := a.Took - basis.expected
	m.observeService(basis, a.Took)
	// The share of the work in the time at an upstream as fast as the others, so that a
	// figure far too low doesn't hide that it is wrong.
	typical := float64(basis.Usual) * math.Exp(m.line.intercept)
	share := typical / (typical + float64(basis.expected-basis.work))
	weight := share * share * share
	// What is left for the work if the rest took as long as it typically does.
	work := basis.work + excess + fromMilliseconds(m.fixed[basis.Kind].mean-m.start[basis.Kind].mean)
	ratio := float64(max(work, basis.Usual/(2*MaxFactor))) / float64(basis.Usual)

	figure := u.figureDuring(basis.figure, a.Took, now)
	expected := u.line.at(figure)
	sample := expected + clamp(logOf(ratio)-expected, factorLimit+firstFactorLimit/(1+u.answers.weight))
	if share > minSkewShare {
		m.skew.add(ratio*math.Exp(-expected), 1)
	}
	u.fade(now)
	if u.answers.weight > 0 {
		m.deviations.add(figure-u.answers.meanX(), sample-u.answers.sumY/u.answers.weight, weight)
	}
	u.answers.add(figure, sample, weight)
	u.answeredAt = now
	u.ownWeight += weight
	m.answers.add(figure, sample, weight)
	m.line = m.answers.level(m.deviations.slope(1, servicePriorSquares), servicePriorAnswers)
}

// observeService learns the fixed time, the transfers and the duration of requests
// without a prompt from an answer.
func (m *Model) observeService(basis *Basis, took time.Duration) {
	excess := took - basis.expected
	switch {
	case basis.Kind == Plain:
		m.jobTime.add(milliseconds(took)/max(basis.Crowding, 1), MaxFactor*m.jobTime.mean)
	case basis.work < 2*engineStart && basis.Transfer < minTransfer && basis.RoundTrip < engineStart:
		fixed, start := &m.fixed[basis.Kind], &m.start[basis.Kind]
		sample := fixed.mean + milliseconds(excess)
		fixed.add(sample, milliseconds(fixedLimit))
		start.add(sample, milliseconds(startLimit))
		fixed.mean = max(0, min(fixed.mean, milliseconds(maxFixed)))
		start.mean = max(0, min(start.mean, fixed.mean))
	}
	if basis.HasTransfer && basis.Transfer >= minTransfer {
		expected := m.Transfer(basis.Transfer) - TransferSetup
		ratio := float64(max(expected+excess, basis.Transfer/MaxFactor)) / float64(basis.Transfer)
		share := float64(expected) / float64(basis.expected)
		share = minTransferShare + (1-minTransferShare)*share
		m.transfer.add(m.transfer.mean+clamp(logOf(ratio)-m.transfer.mean, factorLimit)*share, factorLimit)
		m.transferFactor = math.Exp(m.transfer.mean)
	}
}

// figureDuring returns the figure that was in effect, on average, while work took a
// time until now. first is the one at its beginning.
func (u *Upstream) figureDuring(first float64, took time.Duration, now time.Time) (figure float64) {
	last := first
	if now.Sub(u.figureAt) < took {
		last = u.figure
	}
	figure = (first + last) / 2
	if took <= figureMemory {
		return figure
	}
	known := float64(figureMemory) / float64(took) // two figures are known, each for half of figureMemory
	return u.usualFigure + float64((figure-u.usualFigure)*known)
}

// observeReport merges what another node knows.
func (u *Upstream) observeReport(r Report, now time.Time) {
	if r.AgeMs < 0 || r.Answers < 0 || r.Answers > 1<<53 {
		return
	}
	if r.Peer {
		u.domainAt = now
	}
	if r.Percent > 0 && r.AgeMs < figureTTL.Milliseconds() {
		u.observeFigure(r.Percent, now.Add(-time.Duration(r.AgeMs)*time.Millisecond))
	}
	total := float64(r.Answers) / 1000
	added := total - u.heard[r.Reporter]
	if len(u.heard) >= maxReporters {
		clear(u.heard)
	}
	u.heard[r.Reporter] = total
	if added < 0 { // the node has restarted
		added = total
	}
	if added == 0 || r.FactorPermille <= 0 {
		return
	}
	added = min(added, upstreamAnswers/2)
	u.fade(now)
	u.answers.add(logOf(float64(r.FigurePermille)/1000), logOf(float64(r.FactorPermille)/1000), added)
	u.answeredAt = now
	if r.Peer {
		u.peerWeight += added
	}
}

// fade reduces the weight of answers by the time since the last one.
func (u *Upstream) fade(now time.Time) {
	if u.answers.weight > 0 {
		u.answers.fade(math.Exp(-max(0, float64(now.Sub(u.answeredAt))/float64(answerMemory))))
	}
}

// refresh computes the factor from the last observations.
func (u *Upstream) refresh(now time.Time) {
	u.refreshedAt = now
	prior := u.model.line
	u.line = prior
	usual := 0.0
	if now.Sub(u.answeredAt) < answerTTL {
		u.line = u.answers.line(prior)
		usual = u.answers.meanX()
	}
	if u.percent != 0 && now.Sub(u.figureAt) < figureTTL {
		usual = u.usualFigure
	}
	u.lasting = math.Exp(u.line.at(usual)) * u.model.skew.mean
	u.passing = math.Exp(float64(u.line.slope * (u.figure - usual)))
}

// Pace returns the speed of the upstream at a time. That of an inactive model
// returns usual times unchanged.
func (u *Upstream) Pace(now time.Time) (pace Pace) {
	if u == nil || !u.model.active {
		return Pace{}
	}
	if now.Sub(u.refreshedAt) >= refreshInterval {
		u.refresh(now)
	}
	pace = Pace{model: u.model, lasting: u.lasting, passing: 1, figure: u.usualFigure}
	if age := now.Sub(u.figureAt); age < figureMemory && u.percent != 0 {
		// The change began at an unknown time within figureMemory before the figure.
		pace.passing, pace.remaining = u.passing, (figureMemory-max(age, 0))/2
		pace.figure = u.figure
	}
	return pace
}

// Active reports whether times differ from the usual ones.
func (p Pace) Active() (ok bool) { return p.model != nil }

// Work returns the expected duration of work that usually takes a time.
func (p Pace) Work(usual time.Duration) (duration time.Duration) {
	if p.model == nil {
		return usual
	}
	lasting := float64(usual) * p.lasting
	duration = time.Duration(lasting * p.passing)
	if p.passing != 1 && duration > p.remaining {
		// Only the part that is done until the end of the passing change.
		duration = time.Duration(lasting + float64(p.remaining)*(1-1/p.passing))
	}
	return max(usual/MaxFactor, min(duration, usual*MaxFactor))
}

// Transfer returns the expected duration of a transfer of KV cache that usually
// takes a time.
func (p Pace) Transfer(usual time.Duration) (duration time.Duration) {
	if p.model == nil {
		return usual
	}
	return p.model.Transfer(usual)
}

// Fixed returns the time for a kind of work that doesn't depend on its size. It is 0 if
// the model is inactive.
func (p Pace) Fixed(kind Kind) (duration time.Duration) {
	if p.model == nil {
		return 0
	}
	return p.model.Fixed(kind)
}

// Expect completes a basis with the expected time of the answer, and returns it.
func (p Pace) Expect(basis *Basis) (expected time.Duration) {
	basis.work = p.Work(basis.Usual)
	basis.expected = p.Fixed(basis.Kind) + basis.work + basis.Wait + basis.RoundTrip
	if basis.HasTransfer {
		basis.expected += p.Transfer(basis.Transfer)
	}
	basis.figure = p.figure
	return basis.expected
}

// Report returns what to tell the other nodes of the failure domain, and false if
// nothing has come from the upstream to this node within a period.
func (u *Upstream) Report(now time.Time, period time.Duration) (report Report, ok bool) {
	if !u.model.active || now.Sub(u.ownAt) >= period {
		return Report{}, false
	}
	return u.report(now, u.ownWeight), true
}

// DomainReport returns what to tell other failure domains: what came from the upstream
// to any node of this one, but nothing from other domains, which would come back to
// them as new. It returns false if there is nothing new since the last such report, or
// an interval hasn't passed since then.
func (u *Upstream) DomainReport(now time.Time, interval time.Duration) (report Report, ok bool) {
	if !u.model.active || !u.domainAt.After(u.domainReportAt) || now.Sub(u.domainReportAt) < interval {
		return Report{}, false
	}
	u.domainReportAt = now
	return u.report(now, u.ownWeight+u.peerWeight), true
}

func (u *Upstream) report(now time.Time, weight float64) (report Report) {
	report = Report{Percent: u.percent, Answers: int64(weight * 1000)}
	if u.answers.weight > 0 {
		permille := func(sum float64) int { return int(math.Round(1000 * math.Exp(sum/u.answers.weight))) }
		report.FigurePermille, report.FactorPermille = permille(u.answers.sumX), permille(u.answers.sumY)
	}
	if u.percent != 0 {
		report.AgeMs = max(0, now.Sub(u.figureAt).Milliseconds())
	}
	return report
}

// Percent returns the newest figure, or 0 before the first one, and the factor of the
// upstream in percent.
func (u *Upstream) Percent(now time.Time) (figure, factor int) {
	pace := u.Pace(now)
	if !pace.Active() {
		return 0, 100
	}
	return u.percent, int(math.Round(100 * pace.lasting * pace.passing))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) (d time.Duration) {
	return time.Duration(ms * float64(time.Millisecond))
}
