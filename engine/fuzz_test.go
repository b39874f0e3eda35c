package engine

import (
	"strings"
	"testing"

	"github.com/guavagauge/guavagauge/upstream"
)

// Guards against a response of an engine that makes the stream reader panic, emit
// tokens out of order or beyond the limit, or accept a stream without its end.
func FuzzStream(f *testing.F) {
	f.Add("data: {\"id\":\"x\",\"Offset\":3,\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n")
	f.Add("event: error\ndata: {}\n\n")
	f.Add(": comment\r\n\r\ndata: {\"id\":\"x\"")
	f.Fuzz(func(t *testing.T, body string) {
		const first, last = 3, 6
		next := first
		stream := &completionStream{id: "x", nextOffset: first, endOffset: last, emit: func(token upstream.Token) error {
			if token.Offset != next || token.Offset >= last {
				t.Errorf("token at offset %d, want %d below %d", token.Offset, next, last)
			}
			next++
			return nil
		}}
		if failure := stream.read(t.Context(), strings.NewReader(body), 1<<10); failure == nil && !strings.Contains(body, "[DONE]") {
			t.Error("a stream without [DONE] was accepted")
		}
	})
}
