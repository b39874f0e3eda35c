package entry

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/guavagauge/guavagauge/quota"
	"github.com/guavagauge/guavagauge/routing"
)

// refusalLogInterval is the shortest time between two log lines for requests over their
// quota. Their number isn't bounded otherwise; counters have all of them.
const refusalLogInterval = time.Second

// quotas binds package quota to a node.
type quotas struct {
	*quota.Accounts
	refusalLog rate.Sometimes
}

func newQuotas(n *Node) (q *quotas) {
	b := n.settings.Bounds
	n.Metrics.RegisterMetricsWriter(n.writeQuotaMetrics)
	return &quotas{refusalLog: rate.Sometimes{Interval: refusalLogInterval}, Accounts: quota.New(quota.Options{
		Node: n.settings.Name, Start: time.Now(), Now: n.startedAt, Window: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack,
	})}
}

// configureQuotas puts the quotas of a configuration in force.
func (n *Node) configureQuotas(config routing.Config, now time.Duration) {
	quotas := map[string]quota.Quota{}
	for _, w := range config.Workspaces {
		quotas[w.Name] = w.Quota
	}
	n.quotas.Configure(quotas, now)
}

// setQuotaNodes sets the number of nodes that share the quotas. The first listing isn't
// used if other nodes may start at the same time and not be in it yet.
func (n *Node) setQuotaNodes(listed int) {
	if (listed > 1 && !n.settings.FirstStart) || n.clock()-n.startedAt >= joinPeriod {
		n.quotas.SetListed(listed, n.clock())
	}
}

// chargeQuota charges the request to the quota of its workspace. If it refuses the
// request, it responds to the caller and returns false.
func (e *exchange) chargeQuota() (ok bool) {
	p := e.request.Prompt
	usage := quota.Usage{Known: e.request.TokensKnown, Prompt: p.Tokens, MaxOutput: p.MaxOutput}
	switch decision := e.node.quotas.Admit(e.workspace, usage, e.node.clock()).(type) {
	case quota.Granted:
		e.charge = decision.Charge
		return true
	case quota.Refused:
		e.node.quotas.refusalLog.Do(func() {
			e.log("request over quota", "RetryAfter", decision.RetryAfter, "Usage", usage)
		})
		e.w.Header().Set("Retry-After", strconv.FormatFloat(decision.RetryAfter.Seconds(), 'f', 3, 64))
		e.fail(http.StatusTooManyRequests, reasonQuota, nil)
	case quota.Starting:
		e.refuse(reasonStarting, defaultRetryAfter)
	}
	return false
}

// refundQuota gives the charge back at the end of a request that hasn't run.
func (e *exchange) refundQuota() {
	if e.runs == 0 {
		e.charge.Refund(e.node.clock())
	}
}

// countRun counts an attempt that the upstream may have run. The request was charged
// for the first one.
func (e *exchange) countRun() {
	e.runs++
	if e.runs > 1 {
		e.charge.ChargeAgain(e.node.clock())
	}
}

// logQuotaNodes logs when this node hears from a part of the fleet only, and when it
// hears from all of it again. It returns whether it is a part now; wasPartial is the
// result of the call before.
func (n *Node) logQuotaNodes(wasPartial bool) (partial bool) {
	heard := n.quotas.Heard()
	partial = heard.Nodes < heard.Of
	switch {
	case partial && !wasPartial:
		n.logger.Warn("quotas shared with a part of the nodes", "Heard", heard.Nodes, "Nodes", heard.Of)
	case wasPartial && !partial:
		n.logger.Info("quotas shared with all nodes again", "Nodes", heard.Of)
	}
	return partial
}

// writeQuotaMetrics writes the metrics of the workspaces with a quota.
func (n *Node) writeQuotaMetrics(w io.Writer) {
	heard := n.quotas.Heard()
	if heard.Nodes == 0 {
		return
	}
	metrics.WriteGaugeUint64(w, "guavagauge_entry_quota_nodes_heard", uint64(heard.Nodes))
	metrics.WriteGaugeUint64(w, "guavagauge_entry_quota_nodes", uint64(heard.Of))
	metrics.WriteGaugeFloat64(w, "guavagauge_entry_quota_heard_age_seconds", heard.Age.Seconds())
	for workspace, stats := range n.quotas.All() {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("guavagauge_entry_quota_balance_units{workspace=%q}", workspace), stats.Balance)
		for outcome, c := range map[string]quota.Count{"granted": stats.Granted, "refused": stats.Refused, "returned": stats.Returned} {
			labels := fmt.Sprintf("{workspace=%q,outcome=%q}", workspace, outcome)
			metrics.WriteCounterUint64(w, "guavagauge_entry_quota_requests_total"+labels, uint64(c.Requests))
			metrics.WriteCounterUint64(w, "guavagauge_entry_quota_units_total"+labels, uint64(c.Units))
		}
	}
}
