package policy

import "time"

const (
	// sentBucketWidth bounds how much earlier than a report the work may have been
	// sent that Since counts by mistake.
	sentBucketWidth = 250 * time.Millisecond
	// sentBucketCount makes up 4 s. If no report arrives for longer, the work sent
	// before that is forgotten.
	sentBucketCount = 16
)

// SentCost is the cost of the work that an entry node recently sent to one
// upstream. The node adds the part since the upstream's last load report to the
// reported load. Without it, all requests between two reports would go to the
// same upstream. The zero value is ready to use.
type SentCost struct {
	costs        [sentBucketCount]int64
	bucketStarts [sentBucketCount]int64 // start of each bucket, in units of sentBucketWidth
}

// Add records work that was sent at the time now.
func (s *SentCost) Add(now time.Time, cost int64) {
	bucket := now.UnixNano() / int64(sentBucketWidth)
	i := bucket % sentBucketCount
	if s.bucketStarts[i] != bucket {
		s.bucketStarts[i], s.costs[i] = bucket, 0
	}
	s.costs[i] += cost
}

// Since returns the cost of the work sent since a report was taken, or within
// the last 4 s if the report is older. It may include work that was sent up to
// one bucket, 250 ms, earlier.
func (s *SentCost) Since(taken, now time.Time) (cost int64) {
	last := now.UnixNano() / int64(sentBucketWidth)
	first := max(taken.UnixNano()/int64(sentBucketWidth), last-sentBucketCount+1)
	for bucket := first; bucket <= last; bucket++ {
		if i := bucket % sentBucketCount; s.bucketStarts[i] == bucket {
			cost += s.costs[i]
		}
	}
	return cost
}
