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
//   - Before the first figure of a service or Activate, the model is inactive: Pace returns the
//     usual times unchanged.
//   - A figure loses its passing part within figureMemory, and an upstream without
//     answers for answerTTL gets the factor of its service. After serviceTTL without
//     answers, the service has the factor 1 again. Lost reports only make the model older.
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
	// rareShare is the share of answers with a figure below which figures count as rare.
	// At one customer, only refusals had a figure.
	rareShare = 0.5
	// minDeviation is the least logarithm by which a rare figure differs from the answers
	// if it counts as passing. Noise is 0.9; answers are off by 0.2 after a short time.
	minDeviation = 0.4
	// minLevelWeight is the least weight of an upstream's answers with which its figure is
	// compared, and levelLimit what one comparison says.
	minLevelWeight = 0.5
	levelLimit     = 0.3
	// usualFigureMemory is the time constant of an upstream's usual figure.
	usualFigureMemory = 5 * time.Second
	// figureTTL is how long the usual figure is used.
	figureTTL = 10 * time.Second
	// answerMemory is the time constant with which answers lose weight, and answerTTL
	// how long they are used.
	answerMemory = 30 * time.Second
	answerTTL    = time.Minute
	// serviceTTL is how long what is learned for a service is used without an answer of it
	// to this node. Requests that are expected to be late are refused and have none.
	serviceTTL = 5 * time.Minute
	// refreshInterval is the time between computations of an upstream's factor without
	// observations.
	refreshInterval = 250 * time.Millisecond

	// upstreamAnswers and serviceAnswers are the numbers of answers after which an older
	// one counts 1/e in the regression of an upstream and in that of its service.
	upstreamAnswers = 24
	serviceAnswers  = 400
	// The prior counts as much as answers of these weights, and as figures with these
	// sums of squares.
	upstreamPriorAnswers = 0.1
	upstreamPriorSquares = 1
	servicePriorAnswers  = 2
	servicePriorSquares  = 1
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
	// generationSkew is the prior of the skew for prefills at engines that decode, as
	// measured for long prompts: few nodes see enough of these to learn it.
	generationSkew = 1.3
	// factorLimit and slowerLimit bound the logarithm by which the factor of an answer is
	// lower and higher than the expected one: waits and noise only make it higher. At
	// first they are higher by firstFactorLimit.
	factorLimit      = 0.5
	slowerLimit      = 0.25
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
		active     bool
		answeredAt time.Time // of the last answer that was learned from
		// answers has those of all upstreams, and deviations by how much each deviated from
		// the mean of its upstream: upstreams may send different figures though they are
		// equally fast.
		answers, deviations fit
		line                line           // prior of an upstream
		fixed               [kinds]average // milliseconds
		start               [kinds]average // the same without waits that aren't known
		skew                [kinds]average // mean ratio of the work's duration to that by the line
		withFigure          average        // share of answers that came with a figure
		level               average        // logarithm of the factor at figure 100, from rare figures
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
		answered    float64 // logarithm of the factor by answers, if figures are rare
		deviation   float64 // logarithm by which a rare figure differs from the answers
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
		figure         float64 // in effect when the work was sent; if figures are rare, its deviation
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
)

func (Figure) isObservation() {}
func (Answer) isObservation() {}
func (Report) isObservation() {}

// New returns the model of a service, which is inactive until one of its upstreams
// has sent a figure or Activate is called.
func New() *Model {
	m := &Model{answers: fit{memory: serviceAnswers}, deviations: fit{memory: serviceAnswers}, line: line{slope: 1}}
	m.withFigure = average{mean: 0.6, count: priorAnswers, memory: fixedAnswers}
	m.level.memory = fixedAnswers
	m.transfer, m.transferFactor = average{mean: logUsualTransfer, count: priorAnswers, memory: fixedAnswers}, 2
	m.jobTime = average{mean: milliseconds(defaultJobTime), memory: fixedAnswers}
	for kind := range m.fixed {
		m.fixed[kind] = average{mean: milliseconds(engineStart), count: priorAnswers, memory: fixedAnswers}
		m.skew[kind] = average{mean: 1, count: priorAnswers, memory: fixedAnswers}
	}
	m.skew[Generation].mean = generationSkew
	m.fixed[Handoff].mean = milliseconds(handoffStart)
	m.fixed[Plain] = average{}
	m.start = m.fixed
	return m
}

// expire resets what has been learned if it is older than serviceTTL.
func (m *Model) expire(now time.Time) {
	if m.answeredAt.IsZero() || now.Sub(m.answeredAt) < serviceTTL {
		return
	}
	active, counted := m.active, m.accuracy
	*m = *New()
	m.active, m.accuracy = active, counted
}

// Activate puts the model in force for a service whose upstreams send no figures.
func (m *Model) Activate() { m.active = true }

// Active reports whether the model is in force.
func (m *Model) Active() (ok bool) { return m != nil && m.active }

// rare reports whether most answers come without a figure. Such figures don't tell an
// upstream's usual one, since each was in effect for an unknown time.
func (m *Model) rare() (ok bool) { return m.withFigure.mean < rareShare }

// NewUpstream returns an upstream of the service.
func (m *Model) NewUpstream() *Upstream {
	return &Upstream{
		model: m, answers: fit{memory: upstreamAnswers}, heard: map[string]float64{},
		lasting: 1, passing: 1,
	}
}

// JobTime returns the usual duration of a request without a prompt.
func (m *Model) JobTime() (duration time.Duration) {
	return max(time.Millisecond, fromMilliseconds(m.jobTime.mean))
}

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
	if u.model.rare() && u.answers.weight >= minLevelWeight {
		u.model.level.add(u.answered-figure, levelLimit)
	}
}

// observeAnswer learns the factor of the upstream, and the fixed time and the
// transfers of the service.
func (u *Upstream) observeAnswer(a Answer, now time.Time) {
	m, basis := u.model, &a.Basis
	m.accuracy[classOf(basis)].add(basis.expected, a.Took)
	if basis.Wait > basis.expected/2 || basis.Usual <= 0 {
		return // says more of the queue than of the upstream
	}
	m.answeredAt = now
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

	if now.Sub(u.figureAt) <= a.Took && u.percent != 0 {
		m.withFigure.add(1, 1)
	} else {
		m.withFigure.add(0, 1)
	}
	if m.rare() && basis.figure != 0 {
		m.deviations.add(basis.figure*min(1, float64(figureMemory/2)/float64(max(a.Took, 1))), clamp(logOf(ratio)-u.answered, maxLogFactor), weight)
		m.line.slope = m.deviations.slope(1, servicePriorSquares)
		return // says little of the time without the passing change
	}
	figure := u.figureDuring(basis.figure, a.Took, now)
	expected := u.line.at(figure)
	first := 1 + u.answers.weight
	deviation := min(logOf(ratio)-expected, slowerLimit+firstFactorLimit/(first*first))
	sample := expected + max(deviation, -factorLimit-firstFactorLimit/first)
	if share > minSkewShare {
		m.skew[basis.Kind].add(ratio*math.Exp(-expected), 1)
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
		m.jobTime.add(milliseconds(took)/max(basis.Crowding, 1), MaxFactor*milliseconds(m.JobTime()))
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
	if u.model.rare() {
		return 0
	}
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

// fade reduces the weight of answers by the time since the last one.
func (u *Upstream) fade(now time.Time) {
	if u.answers.weight > 0 {
		u.answers.fade(math.Exp(-max(0, float64(now.Sub(u.answeredAt))/float64(answerMemory))))
	}
}

// refresh computes the factor from the last observations.
func (u *Upstream) refresh(now time.Time) {
	u.refreshedAt = now
	u.model.expire(now)
	if u.model.rare() {
		u.refreshRare(now)
		return
	}
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
	u.lasting = math.Exp(u.line.at(usual))
	u.passing = math.Exp(float64(u.line.slope * (u.figure - usual)))
}

// refreshRare does the same while figures are rare. Then answers alone tell the lasting
// part, and the last figure only until there are some. It tells the passing part by how
// much it differs from them.
func (u *Upstream) refreshRare(now time.Time) {
	m := u.model
	u.line, u.passing, u.deviation = m.line, 1, 0
	usual := 0.0
	if now.Sub(u.answeredAt) < answerTTL {
		usual = u.answers.meanX() // 0 unless it is from reports
	}
	known := u.percent != 0 && now.Sub(u.figureAt) < figureTTL
	if known {
		u.line.intercept = m.level.mean + u.figure - float64(u.line.slope*usual)
	}
	if now.Sub(u.answeredAt) < answerTTL {
		u.line = u.answers.line(u.line)
	}
	u.answered = u.line.at(usual)
	u.lasting = math.Exp(u.answered)
	if deviation := m.level.mean + u.figure - u.answered; known && math.Abs(deviation) >= minDeviation {
		u.deviation = deviation
		u.passing = math.Exp(clamp(float64(m.line.slope*deviation), maxLogFactor))
	}
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
	pace = Pace{model: u.model, lasting: u.lasting, passing: 1}
	if !u.model.rare() {
		pace.figure = u.usualFigure
	}
	if age := now.Sub(u.figureAt); age < figureMemory && u.percent != 0 {
		// The change began at an unknown time within figureMemory before the figure.
		pace.passing, pace.remaining = u.passing, (figureMemory-max(age, 0))/2
		pace.figure = u.figure
		if u.model.rare() {
			pace.figure = u.deviation
		}
	}
	return pace
}

// Active reports whether times differ from the usual ones.
func (p Pace) Active() (ok bool) { return p.model != nil }

// Work returns the expected duration of work of a kind that usually takes a time.
func (p Pace) Work(kind Kind, usual time.Duration) (duration time.Duration) {
	if p.model == nil {
		return usual
	}
	lasting := float64(usual) * p.lasting * p.model.skew[kind].mean
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
	basis.work = p.Work(basis.Kind, basis.Usual)
	basis.expected = p.Fixed(basis.Kind) + basis.work + basis.Wait + basis.RoundTrip
	if basis.HasTransfer {
		basis.expected += p.Transfer(basis.Transfer)
	}
	basis.figure = p.figure
	return basis.expected
}

// Percent returns the newest figure, or 0 if there is none within figureTTL, and the factor of the
// upstream in percent.
func (u *Upstream) Percent(now time.Time) (figure, factor int) {
	pace := u.Pace(now)
	if !pace.Active() {
		return 0, 100
	}
	if now.Sub(u.figureAt) < figureTTL {
		figure = u.percent
	}
	return figure, int(math.Round(100 * pace.lasting * pace.passing))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) (d time.Duration) {
	return time.Duration(ms * float64(time.Millisecond))
}
