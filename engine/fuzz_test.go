package engine

import (
	"strings"
	"testing"

	"github.com/guavagauge/guavagauge/upstream"
)

// Guards against an engine's stream that crashes its reader, or that makes it
// emit tokens out of order or beyond the limit.
func FuzzStream(f *testing.F) {
	f.Add("data: {\"id\":\"x\",\"Offset\":3,\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n")
	f.Add("event: error\ndata: {}\n\n")
	f.Add(": comment\r\n\r\ndata: {\"id\":\"x\"")
	f.Fuzz(func(t *testing.T, body string) {
		const first, last = 3, 6
		next := first
		answer := &stream{id: "x", next: first, last: last, emit: func(token upstream.Token) error {
			if token.Offset != next || token.Offset >= last {
				t.Errorf("token at offset %d, want %d below %d", token.Offset, next, last)
			}
			next++
			return nil
		}}
		if failure := answer.read(t.Context(), strings.NewReader(body), 1<<10); failure == nil && !strings.Contains(body, "[DONE]") {
			t.Error("a stream without its end was accepted")
		}
	})
}
