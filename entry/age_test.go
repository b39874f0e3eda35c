package entry

import (
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
)

// Guards against settings of the watch, the calls between nodes and the fallbacks that
// together let a node send requests to an upstream longer after it has left than the
// strictest site allows. Each row adds up the delays from the store's acknowledgement
// to the last request, at a node that isn't the store reader, while the store is sound.
func TestUpstreamAgeIsBelowDrainTime(t *testing.T) {
	const (
		drainTime = 3 * time.Second
		// storeCall and nodeCall include opening a connection: two round trips of 60 ms
		// between regions, and of 2 ms between failure domains.
		storeCall = 150 * time.Millisecond
		nodeCall  = 50 * time.Millisecond
		// domainPeers is the number of other nodes in a failure domain of the large site.
		domainPeers = 49
	)
	type delay struct {
		what string
		of   time.Duration
	}
	// A node that becomes the reader, or does without one, notices it at its next check.
	takeover := []delay{{"check for the role", listRetryDelay}, {"its own call", storeCall}}
	toFollower := []delay{{"wait until the next call", followInterval}, {"call to the reader", nodeCall}}
	silentToReader := []delay{{"wait until the next call", followInterval}, {"silent call", followTimeout}, {"call on a new connection", nodeCall}}
	for name, chain := range map[string][][]delay{
		"silent connections to the store and to the reader": {
			{
				{"pause after the watch before", watchBatchDelay},
				{"silent watch", upstreamWatchWait + platform.WatchResponseMargin},
				{"watch on a new connection", storeCall},
			},
			silentToReader,
		},
		"reader cut off from the store": {
			{
				{"pause after the watch before", watchBatchDelay},
				{"silent watch", upstreamWatchWait + platform.WatchResponseMargin},
				{"message that says so", gossipTick * domainPeers / smallDomainPeers},
			},
			takeover, toFollower,
		},
		"reader killed": {{{"silence of its messages", readerTTL}}, takeover, toFollower},
		"reader doesn't answer calls": {
			{{"pause after the watch before", watchBatchDelay}, {"age before the silence", followInterval + nodeCall}, {"silence", readerSilence}},
			takeover,
		},
		"upstreams of the reader outdated": {{{"age", relistAge}}, takeover},
	} {
		sum := time.Duration(0)
		for _, part := range chain {
			for _, d := range part {
				sum += d.of
			}
		}
		if sum >= drainTime {
			t.Errorf("%s: %s, want less than %s: %v", name, sum, drainTime, chain)
		}
	}
}
