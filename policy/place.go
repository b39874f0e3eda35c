package policy

import "github.com/guavagauge/guavagauge/rendezvous"

// MaxChoices is the maximum number of upstreams that Place returns for one
// request.
const MaxChoices = 3

// Reasons for a choice, from the most to the least preferred.
const (
	// PrefixHome is the reason for an upstream of the home failure domain that
	// is within the load bound. Rendezvous hashing on the prefix orders these
	// upstreams.
	PrefixHome Reason = iota
	// PrefixRegion is the same as PrefixHome for another failure domain of the
	// home region.
	PrefixRegion
	// LeastLoaded is the reason for an upstream of the home region that exceeds
	// the load bound but can still serve the request in time.
	LeastLoaded
	// Spilled is the reason for an upstream of another region. It is used when
	// the home region can't serve the request in time.
	Spilled
	// Overloaded is the reason for an upstream that can't serve the request in
	// time. It is used when too few other upstreams can.
	Overloaded
	// Suspected is the reason for an upstream that may be dead. It is used when
	// too few other upstreams are left.
	Suspected

	// unusable marks a candidate that must not be chosen.
	unusable Reason = 255
)

// homeCacheSize is the number of candidates for which the first pass records
// whether they are in the home region, so that the second pass doesn't compare
// region names again. The comparison takes a third of the time of a placement.
// The record is an array of this size on the stack; further candidates are
// compared twice.
const homeCacheSize = 128

type (
	// Reason is the reason for a choice.
	Reason uint8

	// Candidate is an upstream that may run the request, with its last known
	// load and its distance from the entry node, which is the node that received
	// the request and places it.
	Candidate struct {
		Hash        uint64 // rendezvous.Hash of the upstream's key
		Queued      int64  // cost of waiting work
		Running     int64  // remaining cost of running work
		Slots       int    // values below 1 count as 1
		NetworkCost int64  // cost of reaching it from the entry node, in units of load per slot
		Domain      string
		Region      string
		Draining    bool
		Suspected   bool
	}

	// PlaceRequest describes a request to Place.
	PlaceRequest struct {
		Prefix []uint64 // hash chain as returned by the function Prefix
		// HashKey orders upstreams for a request without a prefix, for example
		// the hash of its id.
		HashKey uint64
		// Domain and Region are the failure domain and the region of the entry
		// node, called home.
		Domain string
		Region string
		Cost   int64
		// Limit is the load per slot, including the request itself, above which
		// an upstream can't serve it in time; 0 means no limit.
		Limit int64
		// NoSpill keeps the request in the home region even if no upstream there
		// can serve it in time, because crossing isn't worth the price. It has no
		// effect if all upstreams there are draining or suspected.
		NoSpill bool
	}

	// Choice is a chosen upstream, given by its index among the candidates.
	Choice struct {
		Index  int
		Reason Reason
	}

	// rankedChoice is a usable candidate with the values that order it.
	rankedChoice struct {
		reason     Reason
		load       int64
		hashWeight uint64
		index      int
	}
)

// Place appends to dst up to MaxChoices candidates in the order in which to
// try them. It doesn't allocate if dst has enough capacity.
//
// Draining upstreams are never chosen. Other regions are used only if every
// upstream of the home region exceeds the request's limit, is draining or is
// suspected. Nothing is appended if all candidates are draining or there are
// none.
func Place(dst []Choice, request PlaceRequest, candidates []Candidate, preferences Preferences) []Choice {
	var inHome [homeCacheSize]bool
	bound, spill := placementLimits(&request, candidates, preferences, &inHome)
	key, hasPrefix := placementKey(&request, preferences)
	var best [MaxChoices]rankedChoice
	n := 0
	for i := range candidates {
		c := &candidates[i]
		inHomeRegion := inHome[i%homeCacheSize] // wrong for candidates that aren't recorded; set below
		if i >= homeCacheSize {
			inHomeRegion = c.Region == request.Region
		}
		r := rankedChoice{reason: classify(c, &request, inHomeRegion, bound, spill)}
		if r.reason == unusable || (n == MaxChoices && r.reason > best[n-1].reason) {
			continue
		}
		r.hashWeight = rendezvous.Weight(key, c.Hash)
		// Within the load bound only the prefix decides, so that requests with
		// the same prefix go to the same upstream.
		if !hasPrefix || r.reason > PrefixRegion {
			r.load = (c.Queued+c.Running)/int64(max(c.Slots, 1)) + c.NetworkCost
		}
		r.index = i
		n = insertChoice(&best, n, r)
	}
	for _, r := range best[:n] {
		dst = append(dst, Choice{r.index, r.reason})
	}
	return dst
}

// insertChoice inserts r into the n best choices so far, if it is among the
// best MaxChoices, and returns the new number of choices.
func insertChoice(best *[MaxChoices]rankedChoice, n int, r rankedChoice) int {
	if n == MaxChoices {
		if !r.before(&best[n-1]) {
			return n
		}
		n--
	}
	position := n
	for ; position > 0 && r.before(&best[position-1]); position-- {
		best[position] = best[position-1]
	}
	best[position] = r
	return n + 1
}

// placementLimits returns the load bound of the home region as a load per slot,
// and whether other regions may be used. It records in inHome which candidates
// are in the home region.
func placementLimits(request *PlaceRequest, candidates []Candidate, preferences Preferences, inHome *[homeCacheSize]bool) (bound int64, spill bool) {
	var load, slots int64
	spill = !request.NoSpill
	for i := range candidates {
		c := &candidates[i]
		inHomeRegion := c.Region == request.Region
		if i < homeCacheSize {
			inHome[i] = inHomeRegion
		}
		if !inHomeRegion || c.Draining || c.Suspected {
			continue
		}
		load += c.Queued + c.Running
		slots += int64(max(c.Slots, 1))
		if request.Limit == 0 || !c.exceeds(request.Cost, request.Limit) {
			spill = false
		}
	}
	if slots == 0 {
		return 0, true
	}
	// The request's own cost counts as load. Otherwise, the bound would be close
	// to 0 in an almost idle region, and any load would exceed it.
	return int64(preferences.LoadBound * float64(load+request.Cost) / float64(slots)), spill
}

// placementKey returns the key for rendezvous hashing, and whether it comes from
// a prefix.
func placementKey(request *PlaceRequest, preferences Preferences) (key uint64, hasPrefix bool) {
	if len(request.Prefix) == 0 {
		return request.HashKey, false
	}
	depth := min(max(preferences.PrefixDepth, 1), len(request.Prefix))
	return request.Prefix[depth-1], true
}

// classify returns the reason for which a candidate may be chosen, or unusable.
func classify(c *Candidate, request *PlaceRequest, inHomeRegion bool, bound int64, spill bool) Reason {
	switch {
	case c.Draining:
		return unusable
	case !inHomeRegion && !spill:
		return unusable
	case c.Suspected:
		return Suspected
	case request.Limit > 0 && c.exceeds(request.Cost, request.Limit):
		return Overloaded
	case !inHomeRegion:
		return Spilled
	case c.exceeds(0, bound):
		return LeastLoaded
	case c.Domain == request.Domain:
		return PrefixHome
	default:
		return PrefixRegion
	}
}

// exceeds reports whether the load per slot, with the extra load, is above
// perSlot. It avoids a division, which would dominate the time per candidate.
func (c *Candidate) exceeds(extra, perSlot int64) bool {
	return c.Queued+c.Running+extra > perSlot*int64(max(c.Slots, 1))
}

// before reports whether r is preferred to other.
func (r *rankedChoice) before(other *rankedChoice) bool {
	if r.reason != other.reason {
		return r.reason < other.reason
	}
	if r.load != other.load {
		return r.load < other.load
	}
	return r.hashWeight > other.hashWeight
}

// String returns the name used in logs and explanations.
func (r Reason) String() string {
	switch r {
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
