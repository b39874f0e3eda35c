package speed

import "time"

// Classes of answers for which the accuracy is counted separately.
const (
	Short      Class = iota // prefill of a short prompt
	Long                    // prefill of a long prompt
	Decode                  // start of decoding after a separate prefill
	Unprompted              // request without a prompt

	classes
)

const (
	// longWork is the usual time from which a prefill counts as long: that of about
	// 4,000 tokens.
	longWork = 80 * time.Millisecond
	// accuracyAnswers is the number of answers after which an older one counts 1/e in
	// Accuracy.
	accuracyAnswers = 200
	// maxCountedRatio bounds a single ratio in Accuracy.
	maxCountedRatio = 100
)

type (
	// Class is a class of answers.
	Class uint8

	// Accuracy is how far off the model was for recent answers.
	Accuracy struct {
		// Ratio is the sum of the times taken divided by the sum of those expected.
		Ratio float64
		// WithinTwice is the share of answers that took at most twice the expected time.
		WithinTwice float64
	}

	// Deviation compares one answer with what was expected.
	Deviation struct {
		Class          Class
		Expected, Took time.Duration
		Figure, Factor int // percent, when the answer came
		Recent         Accuracy
		WithinTwice    bool // Took is at most twice Expected
	}

	accuracy struct{ expected, took, count, within float64 }
)

// String returns the name of a class in counters.
func (c Class) String() string {
	return [classes]string{"Short", "Long", "Decode", "Unprompted"}[min(c, Unprompted)]
}

// classOf returns the class of an answer.
func classOf(basis *Basis) (class Class) {
	switch {
	case basis.Kind == Handoff:
		return Decode
	case basis.Kind == Plain:
		return Unprompted
	case basis.Usual >= longWork:
		return Long
	default:
		return Short
	}
}

func (a *accuracy) add(expected, took time.Duration) {
	const fading = 1 - 1.0/accuracyAnswers
	a.expected, a.took, a.count, a.within = a.expected*fading, a.took*fading, a.count*fading, a.within*fading
	a.expected += milliseconds(expected)
	a.took += min(milliseconds(took), maxCountedRatio*milliseconds(expected))
	a.count++
	if took <= 2*expected {
		a.within++
	}
}

// Compare returns how far off the expected time of an answer was, and false if the
// model is inactive or the answer has no basis.
func (u *Upstream) Compare(a Answer, now time.Time) (deviation Deviation, ok bool) {
	if a.Basis.Kind == 0 || !u.model.Active() {
		return Deviation{}, false
	}
	deviation = Deviation{Class: classOf(&a.Basis), Expected: a.Basis.expected, Took: a.Took, WithinTwice: a.Took <= 2*a.Basis.expected}
	if recent := u.model.accuracy[deviation.Class]; recent.expected > 0 {
		deviation.Recent = Accuracy{Ratio: recent.took / recent.expected, WithinTwice: recent.within / recent.count}
	}
	deviation.Figure, deviation.Factor = u.Percent(now)
	return deviation, true
}
