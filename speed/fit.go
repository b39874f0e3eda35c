package speed

import "math"

type (
	// line maps the logarithm of a figure to that of the factor by which work takes
	// longer than usual.
	line struct{ intercept, slope float64 }

	// fit is a weighted linear regression whose older samples lose weight.
	fit struct {
		weight           float64 // of all samples
		sumX, sumY       float64
		sumOfXX, sumOfXY float64
		memory           float64 // samples of weight 1 after which an older one counts 1/e
	}

	// average is a mean over about the last memory samples, to which one sample adds
	// a bounded amount.
	average struct {
		mean, count, memory float64
	}
)

func clamp(value, limit float64) float64 { return max(-limit, min(value, limit)) }

func (l line) at(x float64) (y float64) { return l.intercept + float64(l.slope*x) }

// add adds a sample.
func (f *fit) add(x, y, weight float64) {
	f.fade(max(0, 1-weight/f.memory))
	f.weight += weight
	f.sumX += weight * x
	f.sumY += weight * y
	f.sumOfXX += weight * x * x
	f.sumOfXY += weight * x * y
}

// fade multiplies the weight of all samples by a number from 0 to 1.
func (f *fit) fade(factor float64) {
	f.weight *= factor
	f.sumX *= factor
	f.sumY *= factor
	f.sumOfXX *= factor
	f.sumOfXY *= factor
}

// meanX returns the mean of the samples' x, or 0 without samples.
func (f *fit) meanX() (x float64) {
	if f.weight <= 0 {
		return 0
	}
	return f.sumX / f.weight
}

// line returns the regression line. Few samples, or samples with nearly the same x,
// leave it near the prior.
func (f *fit) line(prior line) (l line) {
	if f.weight <= 0 {
		return prior
	}
	meanX := f.sumX / f.weight
	centered := fit{sumOfXX: max(0, f.sumOfXX-float64(meanX*f.sumX)), sumOfXY: f.sumOfXY - float64(meanX*f.sumY)}
	l = f.level(centered.slope(prior.slope, upstreamPriorSquares), 0)
	l.intercept = (upstreamPriorAnswers*prior.intercept + float64(f.weight*l.intercept)) / (upstreamPriorAnswers + f.weight)
	return l
}

// slope returns the slope of the regression line through the origin, from 0 (the
// figure says nothing) to 1 (work takes as long as the figure says). The prior counts
// as much as samples with a sum of squares.
func (f *fit) slope(prior, squares float64) (slope float64) {
	return max(0, min((float64(squares*prior)+f.sumOfXY)/(squares+f.sumOfXX), 1))
}

// level returns the line of a slope that fits the samples best. An intercept of 0
// counts as much as samples of a weight.
func (f *fit) level(slope, priorWeight float64) (l line) {
	return line{intercept: clamp((f.sumY-float64(slope*f.sumX))/(priorWeight+f.weight), maxLogFactor), slope: slope}
}

// add adds a sample, which moves the mean by at most limit if it is the first.
func (a *average) add(sample, limit float64) {
	a.count = min(a.count+1, a.memory)
	a.mean += clamp(sample-a.mean, limit) / a.count
}

// logOf returns the natural logarithm of a ratio, within the bounds of factors. It
// returns 0 for a ratio that isn't a positive number.
func logOf(ratio float64) (x float64) {
	if !(ratio > 0) { // also NaN
		return 0
	}
	return clamp(math.Log(ratio), maxLogFactor)
}
