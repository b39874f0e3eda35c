package resources

import (
	"fmt"
	"time"
)

// logInterval is the time between two log lines of the same event and cause.
const logInterval = 10 * time.Second

// String returns the name of the kind in metrics and log lines.
func (k Kind) String() (name string) {
	return [kinds]string{"connections", "heads", "requests", "bodies", "answers", "upstreams"}[k]
}

// String returns the name of the state in metrics and log lines.
func (s State) String() (name string) {
	return [...]string{"silent", "head", "body", "idle", "busy"}[s]
}

func (a *Account) registerMetrics() {
	set, prefix := a.options.Metrics, a.options.MetricPrefix+"resources_"
	for kind := range kinds {
		set.NewGauge(fmt.Sprintf("%sbytes{kind=%q}", prefix, kind), func() float64 { return float64(a.Held(kind)) })
	}
	set.NewGauge(prefix+"limit_bytes", func() float64 { return float64(a.memoryLimit) })
	set.NewGauge(prefix+`connections{of="callers"}`, func() float64 {
		members, _ := a.connections()
		return float64(members)
	})
	set.NewGauge(prefix+`connections{of="upstreams"}`, func() float64 {
		_, upstreams := a.connections()
		return float64(upstreams)
	})
}

// asked counts and logs that a member is evicted.
func (a *Account) asked(cause Cause, state State, now time.Time) {
	a.options.Metrics.GetOrCreateCounter(fmt.Sprintf("%sresources_closed_total{cause=%q,state=%q}", a.options.MetricPrefix, cause, state)).Inc()
	a.log("connections closed to make room", cause, state, now)
}

// refused counts and logs that something new was refused.
func (a *Account) refused(cause Cause, kind Kind, now time.Time) {
	a.options.Metrics.GetOrCreateCounter(fmt.Sprintf("%sresources_refused_total{cause=%q,kind=%q}", a.options.MetricPrefix, cause, kind)).Inc()
	a.log("no room", cause, kind, now)
}

// log logs an event at most once in logInterval for each cause.
func (a *Account) log(message string, cause Cause, what fmt.Stringer, now time.Time) {
	key := message + string(cause)
	a.mu.Lock()
	a.unlogged[key]++
	last, logged := a.lastLogged[key]
	if logged && now.Sub(last) < logInterval {
		a.mu.Unlock()
		return
	}
	count := a.unlogged[key]
	a.lastLogged[key], a.unlogged[key] = now, 0
	held, members, upstreams := a.held, a.members, a.upstreams
	a.mu.Unlock()
	a.options.Logger.Warn(message, "Cause", cause, "Of", what, "Count", count, "Callers", members, "Upstreams", upstreams,
		"ConnectionBytes", held[Connections], "HeadBytes", held[Heads], "RequestBytes", held[Requests], "BodyBytes", held[Bodies], "AnswerBytes", held[Answers])
}
