package speed

import (
	"math"
	"time"
)

// maxReporters bounds the memory for what other nodes reported of an upstream. Beyond
// it, their next reports count as those of new nodes.
const maxReporters = 1000

// Report is what another node knows of an upstream.
type Report struct {
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
	total, last := float64(r.Answers)/1000, u.heard[r.Reporter]
	added := total - last
	if total < last/2 { // the node has restarted; a little less means that the report is late
		added = total
	}
	if added <= 0 || r.FactorPermille <= 0 {
		return
	}
	if len(u.heard) >= maxReporters {
		clear(u.heard)
	}
	u.heard[r.Reporter] = total
	added = min(added, upstreamAnswers/2)
	u.fade(now)
	u.answers.add(logOf(float64(r.FigurePermille)/1000), logOf(float64(r.FactorPermille)/1000), added)
	u.answeredAt = now
	if r.Peer {
		u.peerWeight += added
	}
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
