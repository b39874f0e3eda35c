package policy

import "github.com/guavagauge/guavagauge/rendezvous"

// MaxChoices is the number of upstreams that one request may try.
const MaxChoices = 3

// Why an upstream was chosen, from the most to the least preferred.
const (
	// PrefixHome is an upstream of the home failure domain, in the order of
	// rendezvous hashing on the prefix and within the load bound.
	PrefixHome Reason = iota
	// PrefixRegion is the same in another failure domain of the home region.
	PrefixRegion
	// LeastLoaded is an upstream of the home region that is above the load
	// bound but can still serve in time.
	LeastLoaded
	// Spilled is an upstream of another region. The home region can't serve in
	// time.
	Spilled
	// Overloaded is an upstream that can't serve in time; none can.
	Overloaded
	// Suspected is an upstream that may be dead; only such are left.
	Suspected

	unusable Reason = 255
)

// surveyed is the number of candidates of which it is kept between the two
// passes whether they are in the home region. Comparing names takes a third of
// the time of a placement.
const surveyed = 128

type (
	// Reason is the reason for a choice.
	Reason uint8

	// Candidate is an upstream that may run the request, with its last known
	// load.
	Candidate struct {
		Hash        uint64 // rendezvous.Hash of the upstream's key
		Queued      int64  // cost of waiting work
		Running     int64  // remaining cost of running work
		Slots       int
		NetworkCost int64 // cost of reaching it from here, in units of load per slot
		Domain      string
		Region      string
		Draining    bool
		Suspected   bool
	}

	// PlaceRequest is what placement needs to know of a request.
	PlaceRequest struct {
		Prefix []uint64
		// HashKey orders upstreams for a request without a prefix, for example
		// the hash of its id.
		HashKey uint64
		// Domain and Region are those of the entry node.
		Domain string
		Region string
		Cost   int64
		// Limit is the load per slot, with the request, above which an upstream
		// can't serve it in time; 0 means that any can.
		Limit int64
		// NoSpill keeps the request in its region although no upstream there
		// can serve it in time: crossing isn't worth its price.
		NoSpill bool
	}

	// Choice is an upstream, by its index among the candidates.
	Choice struct {
		Index  int
		Reason Reason
	}

	ranked struct {
		why    Reason
		load   int64
		weight uint64
		index  int
	}
)

// Place appends to dst up to MaxChoices candidates in the order in which to
// try them. It doesn't allocate when dst has room.
//
// Draining upstreams are never chosen. Other regions are used only if no
// upstream of the home region is below the request's limit.
func Place(dst []Choice, request PlaceRequest, candidates []Candidate, weights Preferences) []Choice {
	var home [surveyed]bool
	bound, spill := survey(&request, candidates, weights, &home)
	key, hasPrefix := placementKey(&request, weights)
	var top [MaxChoices]ranked
	n := 0
	for i := range candidates {
		c := &candidates[i]
		inRegion := home[i%surveyed]
		if i >= surveyed {
			inRegion = c.Region == request.Region
		}
		r := ranked{why: classify(c, &request, inRegion, bound, spill)}
		if r.why == unusable || (n == MaxChoices && r.why > top[n-1].why) {
			continue
		}
		r.weight = rendezvous.Weight(key, c.Hash)
		// Within the bound the prefix alone decides, so that equal prefixes
		// meet on the same upstream.
		if !hasPrefix || r.why > PrefixRegion {
			r.load = (c.Queued+c.Running)/int64(max(c.Slots, 1)) + c.NetworkCost
		}
		r.index = i
		n = insert(&top, n, r)
	}
	for _, r := range top[:n] {
		dst = append(dst, Choice{r.index, r.why})
	}
	return dst
}

// insert keeps the best choices in order and returns their number.
func insert(top *[MaxChoices]ranked, n int, r ranked) int {
	if n == MaxChoices {
		if !r.before(&top[n-1]) {
			return n
		}
		n--
	}
	at := n
	for ; at > 0 && r.before(&top[at-1]); at-- {
		top[at] = top[at-1]
	}
	top[at] = r
	return n + 1
}

// survey returns the highest load per slot that counts as within the bound,
// and whether other regions may be used.
func survey(request *PlaceRequest, candidates []Candidate, weights Preferences, home *[surveyed]bool) (bound int64, spill bool) {
	var load, slots int64
	spill = !request.NoSpill
	for i := range candidates {
		c := &candidates[i]
		inRegion := c.Region == request.Region
		if i < surveyed {
			home[i] = inRegion
		}
		if !inRegion || c.Draining || c.Suspected {
			continue
		}
		load += c.Queued + c.Running
		slots += int64(max(c.Slots, 1))
		if request.Limit == 0 || !c.above(request.Cost, request.Limit) {
			spill = false
		}
	}
	if slots == 0 {
		return 0, true
	}
	// The request's own cost is part of the load that it creates; without it no
	// upstream of an idle region would be within the bound.
	return int64(weights.LoadBound * float64(load+request.Cost) / float64(slots)), spill
}

func placementKey(request *PlaceRequest, weights Preferences) (key uint64, hasPrefix bool) {
	if len(request.Prefix) == 0 {
		return request.HashKey, false
	}
	depth := min(max(weights.PrefixDepth, 1), len(request.Prefix))
	return request.Prefix[depth-1], true
}

func classify(c *Candidate, request *PlaceRequest, inRegion bool, bound int64, spill bool) Reason {
	switch {
	case c.Draining:
		return unusable
	case !inRegion && !spill:
		return unusable
	case c.Suspected:
		return Suspected
	case request.Limit > 0 && c.above(request.Cost, request.Limit):
		return Overloaded
	case !inRegion:
		return Spilled
	case c.above(0, bound):
		return LeastLoaded
	case c.Domain == request.Domain:
		return PrefixHome
	default:
		return PrefixRegion
	}
}

// above compares the load per slot, with extra load, without a division, which would dominate
// the time per candidate.
func (c *Candidate) above(extra, perSlot int64) bool {
	return c.Queued+c.Running+extra > perSlot*int64(max(c.Slots, 1))
}

func (r *ranked) before(other *ranked) bool {
	if r.why != other.why {
		return r.why < other.why
	}
	if r.load != other.load {
		return r.load < other.load
	}
	return r.weight > other.weight
}

// String returns the name used in logs and explanations.
func (w Reason) String() string {
	switch w {
	case PrefixHome:
		return "PrefixHome"
	case PrefixRegion:
		return "PrefixRegion"
	case LeastLoaded:
		return "LeastLoaded"
	case Spilled:
		return "Spilled"
	case Overloaded:
		return "Overloaded"
	default:
		return "Suspected"
	}
}
