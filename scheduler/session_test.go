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

// generateFast emits all tokens as fast as they are taken.
func generateFast(_ context.Context, g upstream.Generation, emit func(upstream.Token) error) (usage upstream.Usage, err error) {
	for i := g.Offset; i < g.MaxTokens; i++ {
		if err := emit(upstream.Token{Offset: i, Text: strconv.Itoa(i)}); err != nil {
			return usage, err
		}
	}
	return upstream.Usage{PromptTokens: 1}, nil
}

func (b *bench) openStream(name string, tokens int) (ident AttemptID) {
	ident = AttemptID{RequestID: name, Attempt: 1}
	args := OpenArgs{AttemptID: ident, Upstream: "o/u", PullerID: 1, Remaining: time.Hour, Generation: upstream.Generation{MaxTokens: tokens}}
	for range 2 { // the second open of an attempt must change nothing
		var reply OpenReply
		(&Receiver{b.Scheduler}).Open(args, &reply)
	}
	synctest.Wait()
	return ident
}

func (b *bench) pull(sequence uint64, resend bool, confirms ...Confirmation) (streams map[string]StreamChunk) {
	var reply NextManyReply
	(&Receiver{b.Scheduler}).NextMany(NextManyArgs{
		PullerID: 1, Sequence: sequence, Resend: resend, Confirms: confirms, Wait: time.Second,
	}, &reply)
	streams = make(map[string]StreamChunk)
	for _, r := range reply.Streams {
		streams[r.RequestID] = r
	}
	synctest.Wait()
	return streams
}

// Guards against tokens that are lost with a reply, or that a late pull takes
// away from the newer one.
func TestPullIsRepeatable(t *testing.T) {
	inBench(t, 4, func(b *bench) {
		b.generate = generateFast
		ident := b.openStream("a", 5)
		check := func(got map[string]StreamChunk, offset, tokens int) {
			t.Helper()
			if r := got["a"]; r.AttemptID != ident || r.Offset != offset || len(r.Tokens) != tokens || r.Tokens[0] != strconv.Itoa(offset) || !r.Done {
				t.Errorf("got %+v, want %d tokens from %d on", r, tokens, offset)
			}
		}
		check(b.pull(2, false), 0, 5)
		check(b.pull(3, true, Confirmation{ident, 0}), 0, 5) // the first reply was lost
		check(b.pull(4, true, Confirmation{ident, 2}), 2, 3)
		if got := b.pull(3, true, Confirmation{ident, 0}); len(got) != 0 {
			t.Errorf("a late pull got %+v", got)
		}
		check(b.pull(5, true, Confirmation{ident, 2}), 2, 3)
		if got := b.pull(6, true, Confirmation{ident, 1})["a"]; got.Failure == nil {
			t.Errorf("tokens that were confirmed are sent again: %+v", got)
		}
		if got := b.pull(7, false, Confirmation{AttemptID{RequestID: "b"}, 0})["b"]; got.Failure == nil || got.Failure.Reason != upstream.ReasonNotSteward {
			t.Errorf("pull of an unknown attempt: %+v", got)
		}
	})
}

// Guards against a caller that doesn't read and fills a scheduler's memory, or
// holds up the other streams of its entry node.
func TestSlowStreamIsBounded(t *testing.T) {
	inBench(t, 4, func(b *bench) {
		b.generate = generateFast
		slow, fast := b.openStream("slow", 10000), b.openStream("fast", 1000)
		read, sequence := 0, uint64(0)
		for done := false; !done && sequence < 100; {
			sequence++
			got := b.pull(sequence, false, Confirmation{fast, read})
			read, done = read+len(got["fast"].Tokens), got["fast"].Done
		}
		if read != 1000 {
			t.Errorf("the fast stream got %d tokens beside a slow one, want 1000", read)
		}
		if held := len(b.streams[slow].tokens); held != maxUnconfirmed {
			t.Errorf("%d tokens held for the slow stream, want %d", held, maxUnconfirmed)
		}
		var reply ConfirmReply
		(&Receiver{b.Scheduler}).Confirm(ConfirmArgs{1, []Confirmation{{slow, 100}}}, &reply)
		synctest.Wait()
		if got := b.pull(sequence+1, false)["slow"]; reply.Known != 1 || got.Offset != 256 || len(got.Tokens) != 100 {
			t.Errorf("after a confirmation of 100: %d tokens from %d on", len(got.Tokens), got.Offset)
		}
		b.removeStream(slow, b.streams[slow])
	})
}

// Guards against runs that go on when their entry node is gone, although it
// pulls other streams, and against canceling one that is only slow.
func TestStreamThatNobodyListsIsCanceled(t *testing.T) {
	inBench(t, 4, func(b *bench) {
		canceled := make(map[string]bool)
		b.generate = func(ctx context.Context, g upstream.Generation, _ func(upstream.Token) error) (usage upstream.Usage, err error) {
			<-ctx.Done()
			b.mu.Lock()
			defer b.mu.Unlock()
			canceled[strconv.Itoa(g.MaxTokens)] = true
			return usage, ctx.Err()
		}
		b.openStream("left", 1)
		listed := b.openStream("listed", 2)
		for sequence := range uint64(15) {
			b.pull(sequence+1, false, Confirmation{listed, 0})
		}
		if !canceled["1"] || canceled["2"] {
			t.Errorf("canceled %v, want only the stream that isn't listed", canceled)
		}
		b.removeStream(listed, b.streams[listed])
	})
}

// Guards against a graceful stop that closes the connections to entry nodes
// before they have the answers: the end of a stream, and the reply of a call.
func TestDrainWaitsForAnswers(t *testing.T) {
	inBench(t, 4, func(b *bench) {
		b.generate = generateFast
		b.openStream("a", 5)
		var group sync.WaitGroup
		b.start(&group, "call", "", time.Minute, false)
		begin := time.Now()
		drained := make(chan time.Duration, 1)
		go func() {
			b.Drain(b.ctx)
			drained <- time.Since(begin)
		}()
		group.Wait()
		time.Sleep(time.Second)
		if got := b.pull(1, false)["a"]; !got.Done || len(got.Tokens) != 5 {
			t.Errorf("pull while draining: %+v", got)
		}
		if took := <-drained; took <= 2*time.Second || took > 3*time.Second {
			t.Errorf("drained after %v, want soon after 2 s, when the stream was pulled", took)
		}
		b.start(&group, "second", "", time.Minute, false)
		group.Wait()
	})
}
