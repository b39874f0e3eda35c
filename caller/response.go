package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// completion is a whole response of the API, or one chunk of a stream.
	completion struct {
		ID      string     `json:"id"`
		Object  string     `json:"object"`
		Created int64      `json:"created"`
		Model   string     `json:"model"`
		Choices []choice   `json:"choices"`
		Usage   *usageBody `json:"usage,omitempty"`
	}

	choice struct {
		Index        int          `json:"index"`
		Message      *messageBody `json:"message,omitempty"`
		Delta        *messageBody `json:"delta,omitempty"`
		Text         *string      `json:"text,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}

	messageBody struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	usageBody struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
)

// relay sends new tokens to the caller, or only collects them if the response
// isn't streamed.
func (s *Server) relay(ex *exchange, g *generation, tokens []string) (err error) {
	first := len(g.tokens) == 0
	g.tokens = append(g.tokens, tokens...)
	if first {
		s.firstToken.Update(time.Since(ex.started).Seconds())
	}
	if !g.stream {
		return nil
	}
	events := g.eventBuffer[:0]
	for i, token := range tokens {
		events = g.appendToken(events, ex, token, first && i == 0)
	}
	g.eventBuffer = events
	return s.writeEvents(ex, events)
}

// finishResponse sends the end of a stream, or the whole response if it isn't
// streamed. It is called after setUsage and recordUsage.
func (s *Server) finishResponse(ex *exchange, g *generation) (err error) {
	finishReason := "stop"
	if len(g.tokens) >= g.outgoing.MaxTokens {
		finishReason = "length"
	}
	if !g.stream {
		return s.writeCompletion(ex, g, finishReason)
	}
	events := g.appendChunk(nil, ex, chunkChoices(g, "", false, &finishReason), nil)
	if g.includeUsage {
		events = g.appendChunk(events, ex, nil, g.usageBody())
	}
	return s.writeEvents(ex, append(events, "data: [DONE]\n\n"...))
}

// writeStreamError ends a stream that has started with an error event instead
// of the end marker.
func (s *Server) writeStreamError(ex *exchange, refused *Refusal) {
	event := append([]byte("event: error\ndata: "), refused.body()...)
	s.writeEvents(ex, append(event, "\n\n"...)) // the caller may have disconnected
}

func (s *Server) writeCompletion(ex *exchange, g *generation, finishReason string) (err error) {
	text := ""
	for _, token := range g.tokens {
		text += token
	}
	c := choice{FinishReason: &finishReason}
	if g.chat {
		c.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	body, err := json.Marshal(g.completion(ex, g.objectType(), []choice{c}, g.usageBody()))
	if err != nil {
		return err
	}
	writeJSON(ex, http.StatusOK, body)
	return nil
}

// writeEvents writes events and flushes them. A caller that doesn't read within
// the write timeout is disconnected, so that it doesn't occupy an upstream.
func (s *Server) writeEvents(ex *exchange, events []byte) (err error) {
	if !ex.responseStarted {
		ex.responseStarted = true
		header := ex.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		ex.writer.WriteHeader(http.StatusOK)
	}
	controller := http.NewResponseController(ex.writer)
	// The deadline is extended once an eighth of it has passed, since setting
	// it for each token is expensive.
	if now := time.Now(); ex.writeDeadline.Sub(now) < s.options.WriteTimeout*7/8 {
		ex.writeDeadline = now.Add(s.options.WriteTimeout)
		controller.SetWriteDeadline(ex.writeDeadline) // not supported by test writers
	}
	if _, err := ex.writer.Write(events); err != nil {
		return err
	}
	return controller.Flush()
}

// chunkChoices returns the choices of one chunk. The first chunk of a chat has
// the role.
func chunkChoices(g *generation, token string, first bool, finishReason *string) []choice {
	c := choice{FinishReason: finishReason}
	if !g.chat {
		c.Text = &token
		return []choice{c}
	}
	c.Delta = &messageBody{Content: token}
	if first {
		c.Delta.Role = "assistant"
	}
	return []choice{c}
}

// appendToken appends the event of one token. The events of a response differ
// only in the token, so the rest is encoded once.
func (g *generation) appendToken(out []byte, ex *exchange, token string, first bool) []byte {
	if first || !isPlain(token) {
		return g.appendChunk(out, ex, chunkChoices(g, token, first, nil), nil)
	}
	if g.eventPrefix == nil {
		chunk := g.appendChunk(nil, ex, chunkChoices(g, "", false, nil), nil)
		cut := bytes.Index(chunk, []byte(`:"","finish_reason"`))
		if g.chat {
			cut = bytes.Index(chunk, []byte(`:""},"finish_reason"`))
		}
		cut += len(`:"`) // the token goes between the quotes of the empty one
		g.eventPrefix, g.eventSuffix = chunk[:cut:cut], chunk[cut:]
	}
	out = append(out, g.eventPrefix...)
	out = append(out, token...)
	return append(out, g.eventSuffix...)
}

// isPlain reports whether a token needs no escaping in a JSON string.
func isPlain(token string) bool {
	for i := range len(token) {
		switch c := token[i]; {
		case c < ' ', c >= utf8.RuneSelf, c == '"', c == '\\', c == '<', c == '>', c == '&', c == 0x7f:
			return false
		}
	}
	return true
}

// appendChunk appends an event with one chunk.
func (g *generation) appendChunk(out []byte, ex *exchange, choices []choice, usage *usageBody) []byte {
	if choices == nil {
		choices = []choice{}
	}
	object := "text_completion"
	if g.chat {
		object = "chat.completion.chunk"
	}
	chunk, _ := json.Marshal(g.completion(ex, object, choices, usage)) // strings and integers only, so this can't fail
	out = append(out, "data: "...)
	out = append(out, chunk...)
	return append(out, "\n\n"...)
}

func (g *generation) completion(ex *exchange, object string, choices []choice, usage *usageBody) completion {
	return completion{
		ID: ex.id, Object: object, Created: ex.started.Unix(), Model: g.model.Name, Choices: choices, Usage: usage,
	}
}

func (g *generation) objectType() string {
	if g.chat {
		return "chat.completion"
	}
	return "text_completion"
}

func (g *generation) usageBody() *usageBody {
	return &usageBody{
		PromptTokens: g.usage.PromptTokens, CompletionTokens: g.usage.CompletionTokens,
		TotalTokens: g.usage.PromptTokens + g.usage.CompletionTokens,
	}
}

// setUsage sets the usage to bill and to report: the engine's count of prompt
// tokens, or the estimate if the engine gave none, and all tokens received, over
// all attempts.
func (g *generation) setUsage(engineUsage upstream.Usage, estimate int) {
	g.usage = engineUsage
	if g.usage.PromptTokens == 0 {
		g.usage.PromptTokens = estimate
	}
	g.usage.CompletionTokens = len(g.tokens)
}
