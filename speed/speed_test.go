package speed_test

import (
	"math"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/speed"
)

const usual = 200 * time.Millisecond

var start = time.Unix(1000, 0)

// newUpstream returns an upstream whose answers have taken a factor of the usual time,
// at figures that say so.
func newUpstream(factor float64) (model *speed.Model, upstream *speed.Upstream) {
	model = speed.New()
	upstream = model.NewUpstream()
	for i := range 40 {
		answer(upstream, factor, int(100*factor), at(i))
	}
	return model, upstream
}

// at returns the time of the i-th answer.
func at(i int) time.Time { return start.Add(time.Duration(i) * time.Second) }

func answer(u *speed.Upstream, factor float64, percent int, now time.Time) {
	u.Observe(speed.Figure{Percent: percent}, now)
	basis := speed.Basis{Kind: speed.Prefill, Usual: usual}
	u.Pace(now).Expect(&basis)
	took := 20*time.Millisecond + time.Duration(factor*float64(usual))
	u.Observe(speed.Answer{Basis: basis, Took: took}, now.Add(took))
}

// factor returns the factor of an upstream.
func factor(u *speed.Upstream, now time.Time) float64 {
	return float64(u.Pace(now).Work(speed.Prefill, usual)) / float64(usual)
}

func expect(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.1*want {
		t.Errorf("%s: factor %.3f, want %.3f", what, got, want)
	}
}

// Guards against a model that acts before an upstream of the service has sent a figure.
func TestInactiveWithoutFigure(t *testing.T) {
	model := speed.New()
	u := model.NewUpstream()
	u.Observe(speed.Answer{Basis: speed.Basis{Kind: speed.Prefill, Usual: usual}, Took: time.Hour}, start)
	u.Observe(speed.Figure{Percent: 0}, start)
	u.Observe(speed.Figure{Percent: -100}, start)
	if pace := u.Pace(start); model.Active() || pace.Active() || pace.Work(speed.Prefill, usual) != usual || pace.Transfer(usual) != usual {
		t.Errorf("the model is active without a figure: %+v", pace)
	}
	if report, ok := u.Report(start, time.Hour); ok {
		t.Errorf("reported without a figure: %+v", report)
	}
}

// Guards against factors that absurd figures, answers or reports take beyond bounds.
func TestBounds(t *testing.T) {
	for name, observations := range map[string][]speed.Observation{
		"huge figure":    {speed.Figure{Percent: math.MaxInt}},
		"tiny figure":    {speed.Figure{Percent: 1}},
		"hour":           {speed.Figure{Percent: 100}, speed.Answer{Basis: speed.Basis{Kind: speed.Prefill, Usual: usual}, Took: time.Hour}},
		"no time":        {speed.Figure{Percent: 100}, speed.Answer{Basis: speed.Basis{Kind: speed.Generation, Usual: usual}}},
		"negative time":  {speed.Figure{Percent: 100}, speed.Answer{Basis: speed.Basis{Kind: speed.Plain, Usual: usual}, Took: -time.Hour}},
		"huge report":    {speed.Report{Reporter: "n", Percent: math.MaxInt, FactorPermille: math.MaxInt, FigurePermille: math.MaxInt, Answers: 1 << 53}},
		"invalid report": {speed.Report{Reporter: "n", Percent: -1, AgeMs: math.MinInt64, FactorPermille: -1, FigurePermille: -1, Answers: math.MaxInt64}},
		"old report":     {speed.Report{Reporter: "n", Percent: 800, AgeMs: math.MaxInt64, FactorPermille: 1, Answers: 1}},
	} {
		u := speed.New().NewUpstream()
		for i := range 100 {
			for _, o := range observations {
				u.Observe(o, at(i))
			}
			if f := factor(u, at(i)); !(f >= 1.0/speed.MaxFactor && f <= speed.MaxFactor) {
				t.Fatalf("%s: factor %v after %d rounds", name, f, i+1)
			}
		}
	}
}

// Guards against figures that are used after the neighbours' work has ended, and
// against answers of an upstream that are used for ever.
func TestFactorsAge(t *testing.T) {
	model, u := newUpstream(0.6)
	now := at(40)
	expect(t, "learned", factor(u, now), 0.6)
	u.Observe(speed.Figure{Percent: 150}, now) // 2.5 times as usual
	if f := factor(u, now); f < 0.8 {
		t.Errorf("factor %.3f after a figure of 2.5 times the usual one", f)
	}
	if short := float64(u.Pace(now).Work(speed.Prefill, usual/20)) / float64(usual/20); math.Abs(short-1.5) > 0.2 {
		t.Errorf("factor %.3f of work that ends before the change does, want 1.5", short)
	}
	now = now.Add(700 * time.Millisecond)
	if f := factor(u, now); f > 0.8 {
		t.Errorf("factor %.3f long after the figure", f)
	}
	other := model.NewUpstream()
	other.Observe(speed.Figure{Percent: 100}, now)
	now = now.Add(3 * time.Minute)
	if got, want := factor(u, now), factor(other, now); math.Abs(got-want) > 1e-6 {
		t.Errorf("factor %.3f without answers for minutes, and %.3f of an upstream without any", got, want)
	}
}

// Guards against upstreams that attract work by a figure which answers contradict.
func TestAnswersExposeFalseFigure(t *testing.T) {
	for name, figure := range map[string]func(i int) (percent int){
		"constant": func(int) int { return 20 },
		"changing": func(i int) int { return 20 + 300*(i%2) },
	} {
		_, u := newUpstream(1)
		for i := range 40 {
			answer(u, 1, figure(i), at(40+i))
		}
		for i := range 2 {
			u.Observe(speed.Figure{Percent: figure(78 + i)}, at(80+i))
			if f := factor(u, at(80+i)); f < 0.7 || f > 1.5 {
				t.Errorf("%s: factor %.3f with figure %d, answers say 1", name, f, figure(78+i))
			}
		}
	}
}

// Guards against reports that count twice, and against what lost or late ones do.
func TestReportsMayBeLostOrRepeated(t *testing.T) {
	_, from := newUpstream(1.6)
	now := at(40)
	report, ok := from.Report(now, 10*time.Second)
	if !ok {
		t.Fatal("nothing to report")
	}
	report.Reporter = "n1"
	to := speed.New().NewUpstream()
	for range 5 {
		to.Observe(report, now)
	}
	once := speed.New().NewUpstream()
	once.Observe(report, now)
	expect(t, "repeated", factor(to, now), factor(once, now))
	expect(t, "reported", factor(to, now), 1.6)
	late := report
	late.Percent, late.AgeMs, late.FactorPermille, late.Answers = 20, 5000, 300, report.Answers-1000
	to.Observe(late, now)
	expect(t, "after a late report", factor(to, now), 1.6)
	if _, ok := to.Report(now, time.Second); ok {
		t.Error("what another node reported is reported as this node's own")
	}
}

// Guards against a duration of requests without a prompt that stays 0 once it is.
func TestJobTimeRecovers(t *testing.T) {
	model := speed.New()
	u := model.NewUpstream()
	u.Observe(speed.Figure{Percent: 100}, start)
	for i := range 100 {
		took := 50 * time.Millisecond
		if i == 0 {
			took = 0
		}
		basis := speed.Basis{Kind: speed.Plain, Usual: model.JobTime(), Crowding: 1}
		u.Pace(at(i)).Expect(&basis)
		u.Observe(speed.Answer{Basis: basis, Took: took}, at(i))
	}
	if got := model.JobTime(); got < 40*time.Millisecond || got > 60*time.Millisecond {
		t.Errorf("%s after 99 answers of 50 ms", got)
	}
}

// Guards against a service that looks slow for good: work that is expected to end after
// its deadline is refused, so there may be no answers that say otherwise.
func TestModelOfServiceAges(t *testing.T) {
	model := speed.New()
	u := model.NewUpstream()
	for i := range 40 {
		answer(u, 6, 100, at(i))
	}
	basis := speed.Basis{Kind: speed.Plain, Usual: model.JobTime(), Crowding: 1}
	u.Pace(at(40)).Expect(&basis)
	u.Observe(speed.Answer{Basis: basis, Took: time.Second}, at(40))
	now := at(40).Add(3 * time.Minute)
	expect(t, "service without answers for minutes", factor(u, now), 6)
	now = at(40).Add(time.Hour)
	expect(t, "service without answers for an hour", factor(u, now), 1)
	fresh := speed.New()
	if !model.Active() || model.JobTime() != fresh.JobTime() || model.Fixed(speed.Prefill) != fresh.Fixed(speed.Prefill) {
		t.Errorf("active: %t, job time %s, fixed time %s", model.Active(), model.JobTime(), model.Fixed(speed.Prefill))
	}
}
