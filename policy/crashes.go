package policy

import (
	"container/list"
	"time"
)

type (
	// CrashOptions configures Crashes. The zero value has the defaults.
	CrashOptions struct {
		// Limit is the number of distinct upstreams after which a fingerprint is
		// quarantined.
		Limit int
		// TTL is how long a crash counts and how long a quarantine lasts.
		TTL time.Duration
		// MaxEntries bounds the number of fingerprints.
		MaxEntries int
	}

	// Crashes counts the distinct upstreams that died while they ran requests
	// with the same fingerprint.
	Crashes struct {
		options     CrashOptions
		records     map[string]*list.Element // of *crash
		counted     *list.List               // below the limit, oldest first
		quarantined *list.List               // at the limit, oldest first
	}

	crash struct {
		fingerprint string
		upstreams   []string
		until       time.Time
	}
)

// NewCrashes returns an empty count.
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

// Report records that upstream died while it ran the fingerprint's request,
// and returns the number of distinct upstreams that did.
func (c *Crashes) Report(fingerprint, upstream string, now time.Time) int {
	c.expire(now)
	element := c.records[fingerprint]
	if element == nil {
		c.makeRoom()
		element = c.counted.PushBack(&crash{fingerprint: fingerprint})
		c.records[fingerprint] = element
	}
	record := element.Value.(*crash)
	if len(record.upstreams) >= c.options.Limit {
		return len(record.upstreams)
	}
	for _, known := range record.upstreams {
		if known == upstream {
			return len(record.upstreams)
		}
	}
	record.upstreams = append(record.upstreams, upstream)
	record.until = now.Add(c.options.TTL)
	if len(record.upstreams) < c.options.Limit {
		c.counted.MoveToBack(element)
		return len(record.upstreams)
	}
	c.counted.Remove(element)
	c.records[fingerprint] = c.quarantined.PushBack(record)
	return len(record.upstreams)
}

// Count returns the number of distinct upstreams that the fingerprint crashed.
func (c *Crashes) Count(fingerprint string, now time.Time) int {
	c.expire(now)
	if element := c.records[fingerprint]; element != nil {
		return len(element.Value.(*crash).upstreams)
	}
	return 0
}

// Quarantined reports whether the fingerprint's requests are refused, and for
// how long.
func (c *Crashes) Quarantined(fingerprint string, now time.Time) (remaining time.Duration, ok bool) {
	if c.Count(fingerprint, now) < c.options.Limit {
		return 0, false
	}
	return c.records[fingerprint].Value.(*crash).until.Sub(now), true
}

// Len returns the number of fingerprints kept.
func (c *Crashes) Len() int { return len(c.records) }

func (c *Crashes) expire(now time.Time) {
	for _, records := range []*list.List{c.counted, c.quarantined} {
		for front := records.Front(); front != nil && !front.Value.(*crash).until.After(now); front = records.Front() {
			c.drop(records, front)
		}
	}
}

// makeRoom drops the oldest fingerprint below the limit first, so that many
// single crashes can't lift a quarantine.
func (c *Crashes) makeRoom() {
	if len(c.records) < c.options.MaxEntries {
		return
	}
	records := c.counted
	if records.Len() == 0 {
		records = c.quarantined
	}
	c.drop(records, records.Front())
}

func (c *Crashes) drop(records *list.List, element *list.Element) {
	delete(c.records, element.Value.(*crash).fingerprint)
	records.Remove(element)
}
