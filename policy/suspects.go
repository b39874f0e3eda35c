package policy

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// suspectSweepInterval is the time between removals of expired records.
	suspectSweepInterval = time.Second
	// maxCrashesPerPart bounds the memory of a record. Far fewer crashes decide
	// between the parts of a request.
	maxCrashesPerPart = 32
)

type (
	// SuspectOptions configures Suspects. Fields that are zero get the defaults.
	SuspectOptions struct {
		// Limit is the number of crashes from which on a part is quarantined, 3 by
		// default. A lower limit quarantines more parts that were only beside the
		// cause.
		Limit int
		// TTL is how long the crashes of a part below the limit are remembered after
		// the last one, 1 minute by default. QuarantineTTL, 10 minutes by default, is
		// the same for a part at the limit.
		TTL           time.Duration
		QuarantineTTL time.Duration
		// MaxEntries is the maximum number of parts, 4096 by default. A new part evicts
		// the one that expires first.
		MaxEntries int
	}

	// Suspects finds the part of prompts that crashes upstreams. A whole request can
	// take the place of a part. A crash is counted
	// against the parts of all requests whose responses hadn't begun, and cleared
	// again for a part on which a later response began. Crashes and clearances can be
	// reported in any order and repeatedly, so nodes can exchange them with messages
	// that may be lost.
	Suspects struct {
		options SuspectOptions
		records map[string]*suspectRecord // by part
		swept   time.Time                 // when expired records were last removed
	}

	// Accusation says that a crash counts against a part, or was cleared for it.
	Accusation struct {
		Part    string
		Crash   string // ID of the crash
		Cleared bool
	}

	// HeldPart is a part at the limit, and for how long it stays there.
	HeldPart struct {
		Part      string
		Remaining time.Duration
	}

	suspectRecord struct {
		crashes map[string]bool // by ID; false once it was cleared
		open    int             // crashes that weren't cleared
		since   time.Time       // of the first crash
		expires time.Time
		held    bool // at the limit by a report of Hold, whatever its crashes are
	}
)

// NewSuspects returns Suspects without any records.
func NewSuspects(options SuspectOptions) *Suspects {
	if options.Limit == 0 {
		options.Limit = 3
	}
	if options.TTL == 0 {
		options.TTL = time.Minute
	}
	if options.QuarantineTTL == 0 {
		options.QuarantineTTL = 10 * time.Minute
	}
	if options.MaxEntries == 0 {
		options.MaxEntries = 4096
	}
	return &Suspects{options: options, records: map[string]*suspectRecord{}}
}

// Report records an accusation or a clearance, and reports whether the part
// reached the limit with it.
func (s *Suspects) Report(a Accusation, now time.Time) (reachedLimit bool) {
	s.sweep(now)
	record := s.record(a.Part, now)
	if record == nil {
		record = s.newRecord(a.Part, now)
	}
	open, known := record.crashes[a.Crash]
	switch {
	case a.Cleared:
		record.crashes[a.Crash] = false
		if open {
			record.open--
		}
	case !known && len(record.crashes) < maxCrashesPerPart:
		record.crashes[a.Crash] = true
		record.open++
		ttl := s.options.TTL
		if s.atLimit(record) {
			ttl = s.options.QuarantineTTL
		}
		record.expires = now.Add(ttl)
		return record.open == s.options.Limit && !record.held
	}
	return false
}

// Open returns the crashes that count against a part.
func (s *Suspects) Open(part string, now time.Time) (crashes []string) {
	record := s.record(part, now)
	if record == nil || record.open == 0 {
		return nil
	}
	for crash, open := range record.crashes {
		if open {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

// Held reports whether a part is at the limit, and for how long. Unlike Quarantined,
// it doesn't consider that another part may be the cause.
func (s *Suspects) Held(part string, now time.Time) (remaining time.Duration, ok bool) {
	record := s.record(part, now)
	if record == nil || !s.atLimit(record) {
		return 0, false
	}
	return record.expires.Sub(now), true
}

// Hold puts a part at the limit for at least the given time, at most QuarantineTTL,
// as another node reports it. It reports whether the part wasn't at the limit before.
func (s *Suspects) Hold(part string, remaining time.Duration, now time.Time) (begun bool) {
	if remaining <= 0 {
		return false
	}
	s.sweep(now)
	record := s.record(part, now)
	if record == nil {
		record = s.newRecord(part, now)
	}
	begun = !s.atLimit(record)
	record.held = true
	if until := now.Add(min(remaining, s.options.QuarantineTTL)); until.After(record.expires) {
		record.expires = until
	}
	return begun
}

// Extend begins the quarantine of a part at the limit anew.
func (s *Suspects) Extend(part string, now time.Time) {
	if record := s.record(part, now); record != nil && s.atLimit(record) {
		record.expires = now.Add(s.options.QuarantineTTL)
	}
}

// HeldParts returns the parts at the limit, sorted by part.
func (s *Suspects) HeldParts(now time.Time) (parts []HeldPart) {
	s.sweep(now)
	for part := range s.records {
		if remaining, ok := s.Held(part, now); ok {
			parts = append(parts, HeldPart{part, remaining})
		}
	}
	slices.SortFunc(parts, func(a, b HeldPart) int { return strings.Compare(a.Part, b.Part) })
	return parts
}

// Accusations returns all that is known of a part, for another node.
func (s *Suspects) Accusations(part string, now time.Time) (accusations []Accusation) {
	record := s.record(part, now)
	if record == nil {
		return nil
	}
	for crash, open := range record.crashes {
		accusations = append(accusations, Accusation{Part: part, Crash: crash, Cleared: !open})
	}
	return accusations
}

// Parts returns the parts with records.
func (s *Suspects) Parts(now time.Time) (parts []string) {
	s.sweep(now)
	return slices.Collect(maps.Keys(s.records))
}

// Quarantined returns the part because of which a request with the given parts is
// to be refused, and for how long. If another part was in nearly all crashes of
// that one, either can be the cause, and only requests with both are refused.
func (s *Suspects) Quarantined(parts []string, now time.Time) (part string, remaining time.Duration, ok bool) {
	for _, part := range parts {
		record := s.record(part, now)
		if record == nil || record.open < s.options.Limit {
			continue
		}
		if containsAll(parts, s.alternatives(part, record, now)) {
			return part, record.expires.Sub(now), true
		}
	}
	return "", 0, false
}

// alternatives returns the other parts at the limit that explain the crashes of a
// part, except for fewer than the limit.
func (s *Suspects) alternatives(part string, record *suspectRecord, now time.Time) (others []string) {
	for other, candidate := range s.records {
		if other == part || candidate.open < s.options.Limit || !candidate.expires.After(now) {
			continue
		}
		unexplained := 0
		for crash, open := range record.crashes {
			if open && !candidate.crashes[crash] {
				unexplained++
			}
		}
		if unexplained < s.options.Limit {
			others = append(others, other)
		}
	}
	return others
}

func containsAll(parts, wanted []string) (ok bool) {
	for _, part := range wanted {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// Announcements returns what another node needs to quarantine the same parts. It
// leaves out those whose first crash is longer ago than a third of QuarantineTTL,
// so that nodes don't remind each other of expired records.
func (s *Suspects) Announcements(now time.Time) (accusations []Accusation) {
	s.sweep(now)
	for part, record := range s.records {
		if record.open < s.options.Limit || now.Sub(record.since) > s.options.QuarantineTTL/3 {
			continue
		}
		accusations = append(accusations, s.Accusations(part, now)...)
	}
	return accusations
}

// Len returns the number of parts with records.
func (s *Suspects) Len() int { return len(s.records) }

// record returns the record of a part, and nil if there is none that counts.
func (s *Suspects) record(part string, now time.Time) *suspectRecord {
	record := s.records[part]
	if record == nil || !record.expires.After(now) {
		return nil
	}
	return record
}

// newRecord adds a record of a part without crashes.
func (s *Suspects) newRecord(part string, now time.Time) *suspectRecord {
	s.evictIfFull()
	record := &suspectRecord{crashes: map[string]bool{}, since: now, expires: now.Add(s.options.TTL)}
	s.records[part] = record
	return record
}

func (s *Suspects) atLimit(record *suspectRecord) bool {
	return record.held || record.open >= s.options.Limit
}

// sweep removes the expired records, at most once a second.
func (s *Suspects) sweep(now time.Time) {
	if now.Sub(s.swept) < suspectSweepInterval {
		return
	}
	s.swept = now
	maps.DeleteFunc(s.records, func(_ string, r *suspectRecord) bool { return !r.expires.After(now) })
}

func (s *Suspects) evictIfFull() {
	if len(s.records) < s.options.MaxEntries {
		return
	}
	oldest := ""
	for part, record := range s.records {
		if oldest == "" || record.expires.Before(s.records[oldest].expires) {
			oldest = part
		}
	}
	delete(s.records, oldest)
}
