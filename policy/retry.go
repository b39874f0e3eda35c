package policy

type (
	// RetryOptions configures a RetryBudget. The zero value has the defaults.
	RetryOptions struct {
		// Ratio is the share of a retry that each request earns. With 0.2, and
		// with every attempt failing, there are 1.2 attempts per request.
		Ratio float64
		// InitialTokens is the number of retries that a new workspace or
		// upstream starts with. Its first InitialTokens/Ratio requests earn
		// nothing, so they don't raise the long-run share.
		InitialTokens float64
		// Cap bounds the retries that can be saved up in quiet times.
		Cap float64
		// MaxEntries bounds the number of workspaces, and of upstreams, that are
		// kept. New ones beyond it get no retries.
		MaxEntries int
	}

	// RetryBudget bounds retries per workspace and per upstream. A retry needs
	// a token of both: the workspace's keeps one workspace's failures from
	// using up what others earn, the upstream's keeps retries from piling up on
	// one upstream.
	RetryBudget struct {
		options    RetryOptions
		workspaces map[string]*bucket
		upstreams  map[string]*bucket
	}

	bucket struct {
		tokens float64
		debt   float64 // part of the advance that isn't earned yet
	}
)

// NewRetryBudget returns a budget in which nothing is earned yet.
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
	return &RetryBudget{options, map[string]*bucket{}, map[string]*bucket{}}
}

// Earn records the first attempt of a request.
func (b *RetryBudget) Earn(workspace, upstream string) {
	b.bucket(b.workspaces, workspace).earn(&b.options)
	b.bucket(b.upstreams, upstream).earn(&b.options)
}

// Spend reports whether a retry on the upstream may be made, and takes its
// tokens if so.
func (b *RetryBudget) Spend(workspace, upstream string) bool {
	w, u := b.bucket(b.workspaces, workspace), b.bucket(b.upstreams, upstream)
	if w == nil || u == nil || w.tokens < 1 || u.tokens < 1 {
		return false
	}
	w.tokens--
	u.tokens--
	return true
}

// Forget drops an upstream that left the fleet.
func (b *RetryBudget) Forget(upstream string) { delete(b.upstreams, upstream) }

func (b *RetryBudget) bucket(buckets map[string]*bucket, key string) *bucket {
	found := buckets[key]
	if found == nil && len(buckets) < b.options.MaxEntries {
		found = &bucket{b.options.InitialTokens, b.options.InitialTokens}
		buckets[key] = found
	}
	return found
}

func (b *bucket) earn(options *RetryOptions) {
	switch {
	case b == nil:
	case b.debt > 0:
		b.debt -= options.Ratio
	default:
		b.tokens = min(b.tokens+options.Ratio, options.Cap)
	}
}
