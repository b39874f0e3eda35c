package policy

import (
	"container/list"
	"time"
)

type (
	// CrashOptions configures Crashes. Fields that are zero get the defaults.
	CrashOptions struct {
		// Limit is the number of distinct upstreams that have to crash before a
		// fingerprint is quarantined, 2 by default. It bounds how many upstreams one
		// request crashes; a lower limit quarantines more requests that only ran
		// while another one crashed the upstream.
		Limit int
		// TTL is how long the crashes of a fingerprint are remembered, 10 minutes
		// by default. It begins anew with the crash of each further distinct
		// upstream up to the limit, so it is also how long a quarantine lasts.
		TTL time.Duration
		// MaxEntries is the maximum number of fingerprints, 4096 by default. A new
		// fingerprint evicts the one that expires first, if possible one that isn't
		// quarantined.
		MaxEntries int
	}

	// Crashes counts, for each request fingerprint, the distinct upstreams that
	// crashed while they ran a request with it.
	Crashes struct {
		options     CrashOptions
		records     map[string]*list.Element // of *crashRecord
		belowLimit  *list.List               // fingerprints below the limit, in the order of expiry
		quarantined *list.List               // fingerprints at the limit, in the order of expiry
	}

	// crashRecord holds the distinct upstreams that crashed while they ran a
	// request with the fingerprint.
	crashRecord struct {
		fingerprint string
		upstreams   []string
		expires     time.Time
	}
)

// NewCrashes returns Crashes without any records.
func NewCrashes(options CrashOptions) *Crashes {
	if options.Limit == 0 {
		options.Limit = 2
	}
	if options.TTL == 0 {
		options.TTL = 10 * time.Minute
	}
	if options.MaxEntries == 0 {
		options.MaxEntries = 4096
	}
	return &Crashes{options, map[string]*list.Element{}, list.New(), list.New()}
}

// Report records that upstream crashed while it ran a request with the
// fingerprint, and returns the number of distinct upstreams that did so, which
// is at most the limit. Crashes during a quarantine don't extend it.
func (c *Crashes) Report(fingerprint, upstream string, now time.Time) int {
	c.expire(now)
	element := c.records[fingerprint]
	if element == nil {
		c.evictIfFull()
		element = c.belowLimit.PushBack(&crashRecord{fingerprint: fingerprint})
		c.records[fingerprint] = element
	}
	record := element.Value.(*crashRecord)
	if len(record.upstreams) >= c.options.Limit {
		return len(record.upstreams)
	}
	for _, known := range record.upstreams {
		if known == upstream {
			return len(record.upstreams)
		}
	}
	record.upstreams = append(record.upstreams, upstream)
	record.expires = now.Add(c.options.TTL)
	if len(record.upstreams) < c.options.Limit {
		c.belowLimit.MoveToBack(element)
		return len(record.upstreams)
	}
	c.belowLimit.Remove(element)
	c.records[fingerprint] = c.quarantined.PushBack(record)
	return len(record.upstreams)
}

// Count returns the number of distinct upstreams that crashed while they ran a
// request with the fingerprint, which is at most the limit.
func (c *Crashes) Count(fingerprint string, now time.Time) int {
	c.expire(now)
	if element := c.records[fingerprint]; element != nil {
		return len(element.Value.(*crashRecord).upstreams)
	}
	return 0
}

// Quarantined reports whether requests with the fingerprint are to be refused,
// and for how long.
func (c *Crashes) Quarantined(fingerprint string, now time.Time) (remaining time.Duration, ok bool) {
	if c.Count(fingerprint, now) < c.options.Limit {
		return 0, false
	}
	return c.records[fingerprint].Value.(*crashRecord).expires.Sub(now), true
}

// Len returns the number of fingerprints with recorded crashes.
func (c *Crashes) Len() int { return len(c.records) }

// expire removes the records whose TTL has passed. Both lists are in the order
// of expiry.
func (c *Crashes) expire(now time.Time) {
	for _, records := range []*list.List{c.belowLimit, c.quarantined} {
		for front := records.Front(); front != nil && !front.Value.(*crashRecord).expires.After(now); front = records.Front() {
			c.remove(records, front)
		}
	}
}

// evictIfFull makes room for a new fingerprint. It evicts fingerprints below the
// limit first, so that many single crashes can't lift a quarantine.
func (c *Crashes) evictIfFull() {
	if len(c.records) < c.options.MaxEntries {
		return
	}
	records := c.belowLimit
	if records.Len() == 0 {
		records = c.quarantined
	}
	c.remove(records, records.Front())
}

func (c *Crashes) remove(records *list.List, element *list.Element) {
	delete(c.records, element.Value.(*crashRecord).fingerprint)
	records.Remove(element)
}
