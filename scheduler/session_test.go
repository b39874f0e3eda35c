package scheduler

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/upstream"
)

// generateFast emits all tokens without delay.
func generateFast(_ context.Context, g upstream.Generation, emit func(upstream.Token) error) (usage upstream.Usage, err error) {
	for i := g.Offset; i < g.MaxTokens; i++ {
		if err := emit(upstream.Token{Offset: i, Text: strconv.Itoa(i)}); err != nil {
			return usage, err
		}
	}
	return upstream.Usage{PromptTokens: 1}, nil
}

func (f *fixture) openStream(name string, tokens int) (id AttemptID) {
	id = AttemptID{RequestID: name, Attempt: 1}
	args := OpenArgs{AttemptID: id, Upstream: "o/u", PullerID: 1, Remaining: time.Hour, Generation: upstream.Generation{MaxTokens: tokens}}
	for range 2 { // a repeated Open must have no effect
		var reply OpenReply
		(&Receiver{f.Scheduler}).Open(args, &reply)
	}
	synctest.Wait()
	return id
}

func (f *fixture) pull(sequence uint64, resend bool, confirms ...Confirmation) (streams map[string]StreamChunk) {
	var reply NextManyReply
	(&Receiver{f.Scheduler}).NextMany(NextManyArgs{
		PullerID: 1, Sequence: sequence, Resend: resend, Confirms: confirms, Wait: time.Second,
	}, &reply)
	streams = make(map[string]StreamChunk)
	for _, r := range reply.Streams {
		streams[r.RequestID] = r
	}
	synctest.Wait()
	return streams
}

// Guards against tokens that are lost with the reply to a pull, and against a
// delayed pull that takes tokens away from a newer one.
func TestRepeatedPullResendsUnconfirmedTokens(t *testing.T) {
	withFixture(t, 4, func(f *fixture) {
		f.generate = generateFast
		id := f.openStream("a", 5)
		check := func(got map[string]StreamChunk, offset, tokens int) {
			t.Helper()
			if r := got["a"]; r.AttemptID != id || r.Offset != offset || len(r.Tokens) != tokens || r.Tokens[0] != strconv.Itoa(offset) || !r.Done {
				t.Errorf("chunk %+v, want %d tokens from offset %d on and the end", r, tokens, offset)
			}
		}
		check(f.pull(2, false), 0, 5)
		check(f.pull(3, true, Confirmation{id, 0}), 0, 5) // the first reply was lost
		check(f.pull(4, true, Confirmation{id, 2}), 2, 3)
		if got := f.pull(3, true, Confirmation{id, 0}); len(got) != 0 {
			t.Errorf("a delayed pull got %+v, want nothing", got)
		}
		check(f.pull(5, true, Confirmation{id, 2}), 2, 3)
		if got := f.pull(6, true, Confirmation{id, 1})["a"]; got.Failure == nil {
			t.Errorf("resend of confirmed tokens: %+v, want a failure", got)
		}
		if got := f.pull(7, false, Confirmation{AttemptID{RequestID: "b"}, 0})["b"]; got.Failure == nil || got.Failure.Reason != upstream.ReasonNotScheduler {
			t.Errorf("pull of an unknown attempt: %+v, want reason NotSteward", got)
		}
	})
}

// Guards against a caller that reads nothing and thereby fills the scheduler's
// memory or blocks the other streams of its entry node.
func TestSlowStreamIsBoundedAndBlocksNoOther(t *testing.T) {
	withFixture(t, 4, func(f *fixture) {
		f.generate = generateFast
		slow, fast := f.openStream("slow", 10000), f.openStream("fast", 1000)
		read, sequence := 0, uint64(0)
		for done := false; !done && sequence < 100; {
			sequence++
			got := f.pull(sequence, false, Confirmation{fast, read})
			read, done = read+len(got["fast"].Tokens), got["fast"].Done
		}
		if read != 1000 {
			t.Errorf("the fast stream got %d tokens beside a slow one, want 1000", read)
		}
		if held := len(f.streams[slow].tokens); held != maxUnconfirmedTokens {
			t.Errorf("%d tokens buffered for the slow stream, want %d", held, maxUnconfirmedTokens)
		}
		var reply ConfirmReply
		(&Receiver{f.Scheduler}).Confirm(ConfirmArgs{1, []Confirmation{{slow, 100}}}, &reply)
		synctest.Wait()
		if got := f.pull(sequence+1, false)["slow"]; reply.Known != 1 || got.Offset != 256 || len(got.Tokens) != 100 {
			t.Errorf("after a confirmation of 100 tokens: got %d tokens from offset %d on, want 100 from 256", len(got.Tokens), got.Offset)
		}
		f.removeStream(slow, f.streams[slow])
	})
}

// Guards against a generation that keeps running although its entry node no
// longer lists its stream, while it pulls other ones. Also guards against
// canceling a listed stream that only is slow.
func TestUnlistedStreamIsCanceled(t *testing.T) {
	withFixture(t, 4, func(f *fixture) {
		canceled := make(map[string]bool)
		f.generate = func(ctx context.Context, g upstream.Generation, _ func(upstream.Token) error) (usage upstream.Usage, err error) {
			<-ctx.Done()
			f.mu.Lock()
			defer f.mu.Unlock()
			canceled[strconv.Itoa(g.MaxTokens)] = true
			return usage, ctx.Err()
		}
		f.openStream("left", 1)
		listed := f.openStream("listed", 2)
		for sequence := range uint64(15) {
			f.pull(sequence+1, false, Confirmation{listed, 0})
		}
		if !canceled["1"] || canceled["2"] {
			t.Errorf("canceled %v (by MaxTokens), want only 1, the stream that isn't listed", canceled)
		}
		f.removeStream(listed, f.streams[listed])
	})
}

// Guards against a Drain that returns before the entry nodes have all results:
// the end of a stream and the reply to a call. The node closes its connections
// after Drain.
func TestDrainWaitsForDelivery(t *testing.T) {
	withFixture(t, 4, func(f *fixture) {
		f.generate = generateFast
		f.openStream("a", 5)
		var group sync.WaitGroup
		f.startCall(&group, "call", "", time.Minute, false)
		begin := time.Now()
		drained := make(chan time.Duration, 1)
		go func() {
			f.Drain(f.ctx)
			drained <- time.Since(begin)
		}()
		group.Wait()
		time.Sleep(time.Second)
		if got := f.pull(1, false)["a"]; !got.Done || len(got.Tokens) != 5 {
			t.Errorf("pull while draining: %+v, want 5 tokens and the end", got)
		}
		if took := <-drained; took <= 2*time.Second || took > 3*time.Second {
			t.Errorf("Drain returned after %v, want soon after 2 s, when the stream was pulled", took)
		}
		f.startCall(&group, "second", "", time.Minute, false)
		group.Wait()
	})
}
