package policy

type (
	// RetryOptions configures a RetryBudget. Fields that are zero get the
	// defaults.
	RetryOptions struct {
		// Ratio is the number of retry tokens that each request earns. With the
		// default of 0.2 there are in the long run at most 1.2 attempts per
		// request, even if every attempt fails. A higher value allows more retries
		// and more extra load during an outage.
		Ratio float64
		// InitialTokens is the number of retry tokens with which a new workspace
		// or upstream starts, 10 by default. They are an advance: the first
		// InitialTokens/Ratio requests earn nothing, so that the advance doesn't
		// raise the long-run ratio of retries to requests. A higher value allows
		// more retries for a workspace or on an upstream that is new.
		InitialTokens float64
		// Cap is the maximum number of retry tokens that a workspace or upstream
		// can accumulate, 100 by default. It bounds the retries in a burst of
		// failures after a time with few.
		Cap float64
		// MaxEntries is the maximum number of workspaces, and also of upstreams,
		// with a token bucket, 16384 by default. Further ones get no retries.
		// Forget removes the bucket of an upstream; those of workspaces stay.
		MaxEntries int
	}

	// RetryBudget limits the retries per workspace and per upstream with token
	// buckets. A retry takes a token from both: the bucket per workspace keeps
	// the failures of one workspace from using up the tokens that others earn,
	// and the bucket per upstream keeps retries from piling up on one upstream.
	RetryBudget struct {
		options    RetryOptions
		workspaces map[string]*tokenBucket
		upstreams  map[string]*tokenBucket
	}

	// tokenBucket holds the retry tokens of one workspace or upstream.
	tokenBucket struct {
		tokens   float64
		unearned float64 // part of the initial tokens that requests haven't earned yet
	}
)

// NewRetryBudget returns a budget without any token buckets.
func NewRetryBudget(options RetryOptions) *RetryBudget {
	if options.Ratio == 0 {
		options.Ratio = 0.2
	}
	if options.InitialTokens == 0 {
		options.InitialTokens = 10
	}
	if options.Cap == 0 {
		options.Cap = 100
	}
	if options.MaxEntries == 0 {
		options.MaxEntries = 16384
	}
	return &RetryBudget{options, map[string]*tokenBucket{}, map[string]*tokenBucket{}}
}

// Earn adds retry tokens for the first attempt of a request.
func (b *RetryBudget) Earn(workspace, upstream string) {
	b.bucketOf(b.workspaces, workspace).earn(&b.options)
	b.bucketOf(b.upstreams, upstream).earn(&b.options)
}

// Spend reports whether a request of the workspace may be retried on the
// upstream, and takes a token from both buckets if so.
func (b *RetryBudget) Spend(workspace, upstream string) bool {
	w, u := b.bucketOf(b.workspaces, workspace), b.bucketOf(b.upstreams, upstream)
	if w == nil || u == nil || w.tokens < 1 || u.tokens < 1 {
		return false
	}
	w.tokens--
	u.tokens--
	return true
}

// Forget removes the token bucket of an upstream that left the fleet. If the
// upstream returns, it starts with InitialTokens again.
func (b *RetryBudget) Forget(upstream string) { delete(b.upstreams, upstream) }

// bucketOf returns the token bucket of key, and creates it if necessary. It
// returns nil if there are already MaxEntries others.
func (b *RetryBudget) bucketOf(buckets map[string]*tokenBucket, key string) *tokenBucket {
	found := buckets[key]
	if found == nil && len(buckets) < b.options.MaxEntries {
		found = &tokenBucket{b.options.InitialTokens, b.options.InitialTokens}
		buckets[key] = found
	}
	return found
}

// earn adds Ratio tokens, or pays off the advance first.
func (b *tokenBucket) earn(options *RetryOptions) {
	switch {
	case b == nil:
	case b.unearned > 0:
		b.unearned -= options.Ratio
	default:
		b.tokens = min(b.tokens+options.Ratio, options.Cap)
	}
}
