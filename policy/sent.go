package policy

import "time"

const (
	sentBucket  = 250 * time.Millisecond
	sentBuckets = 16 // reports older than 4 s count as 4 s old
)

// SentCost is the cost of the work that an entry node sent to one upstream
// lately. Added to the load in a report, it covers the time since the report
// was taken. Without it all requests between two reports go to the same
// upstream. The zero value is ready to use.
type SentCost struct {
	buckets [sentBuckets]int64
	times   [sentBuckets]int64 // start of each bucket, in units of sentBucket
}

// Add records work that was sent at now.
func (s *SentCost) Add(now time.Time, cost int64) {
	at := now.UnixNano() / int64(sentBucket)
	i := at % sentBuckets
	if s.times[i] != at {
		s.times[i], s.buckets[i] = at, 0
	}
	s.buckets[i] += cost
}

// Since returns the cost of the work sent since a report was taken, up to one
// bucket of 250 ms more.
func (s *SentCost) Since(taken, now time.Time) (cost int64) {
	last := now.UnixNano() / int64(sentBucket)
	first := max(taken.UnixNano()/int64(sentBucket), last-sentBuckets+1)
	for at := first; at <= last; at++ {
		if i := at % sentBuckets; s.times[i] == at {
			cost += s.buckets[i]
		}
	}
	return cost
}
