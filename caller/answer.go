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
	// completion is the API's whole answer, or one chunk of a streamed one.
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

// relay passes on tokens that have just arrived. A whole answer is collected.
func (s *Server) relay(ex *exchange, g *generation, tokens []string) (err error) {
	first := len(g.tokens) == 0
	g.tokens = append(g.tokens, tokens...)
	if first {
		s.firstToken.Update(time.Since(ex.started).Seconds())
	}
	if !g.stream {
		return nil
	}
	out := g.out[:0]
	for i, token := range tokens {
		out = g.appendToken(out, ex, token, first && i == 0)
	}
	g.out = out
	return s.send(ex, out)
}

// conclude sends the end of the answer. The usage has been recorded by then.
func (s *Server) conclude(ex *exchange, g *generation) (err error) {
	finish := "stop"
	if len(g.tokens) >= g.spec.MaxTokens {
		finish = "length"
	}
	if !g.stream {
		return s.writeWhole(ex, g, finish)
	}
	out := g.appendChunk(nil, ex, choiceOf(g, "", false, &finish), nil)
	if g.includeUsage {
		out = g.appendChunk(out, ex, nil, g.usageBody())
	}
	return s.send(ex, append(out, "data: [DONE]\n\n"...))
}

// fail ends a stream whose status line has been sent. The caller sees an error
// event in place of the end marker.
func (s *Server) fail(ex *exchange, refused *Refusal) {
	out := append([]byte("event: error\ndata: "), refused.body()...)
	s.send(ex, append(out, "\n\n"...)) // the caller may have left
}

func (s *Server) writeWhole(ex *exchange, g *generation, finish string) (err error) {
	text := ""
	for _, token := range g.tokens {
		text += token
	}
	c := choice{FinishReason: &finish}
	if g.chat {
		c.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	body, err := json.Marshal(g.completion(ex, g.object(), []choice{c}, g.usageBody()))
	if err != nil {
		return err
	}
	writeJSON(ex, http.StatusOK, body)
	return nil
}

// send writes events and flushes them. A caller that doesn't read within the
// write timeout is cut off, so that it can't hold an upstream.
func (s *Server) send(ex *exchange, out []byte) (err error) {
	if !ex.answerStarted {
		ex.answerStarted = true
		header := ex.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		ex.writer.WriteHeader(http.StatusOK)
	}
	controller := http.NewResponseController(ex.writer)
	// Setting the deadline for each token costs more than it is worth.
	if now := time.Now(); ex.writeUntil.Sub(now) < s.options.WriteTimeout*7/8 {
		ex.writeUntil = now.Add(s.options.WriteTimeout)
		controller.SetWriteDeadline(ex.writeUntil) // not supported by test writers
	}
	if _, err := ex.writer.Write(out); err != nil {
		return err
	}
	return controller.Flush()
}

func choiceOf(g *generation, token string, first bool, finish *string) []choice {
	c := choice{FinishReason: finish}
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

// appendToken appends the event of one token. All events of an answer are the
// same but for the token, so the rest is encoded once.
func (g *generation) appendToken(out []byte, ex *exchange, token string, first bool) []byte {
	if first || !isPlain(token) {
		return g.appendChunk(out, ex, choiceOf(g, token, first, nil), nil)
	}
	if g.before == nil {
		chunk := g.appendChunk(nil, ex, choiceOf(g, "", false, nil), nil)
		at := bytes.Index(chunk, []byte(`:"","finish_reason"`))
		if g.chat {
			at = bytes.Index(chunk, []byte(`:""},"finish_reason"`))
		}
		at += len(`:"`)
		g.before, g.after = chunk[:at:at], chunk[at:]
	}
	out = append(out, g.before...)
	out = append(out, token...)
	return append(out, g.after...)
}

// isPlain reports whether a token is the same inside a JSON string.
func isPlain(token string) bool {
	for i := range len(token) {
		switch c := token[i]; {
		case c < ' ', c >= utf8.RuneSelf, c == '"', c == '\\', c == '<', c == '>', c == '&', c == 0x7f:
			return false
		}
	}
	return true
}

func (g *generation) appendChunk(out []byte, ex *exchange, choices []choice, usage *usageBody) []byte {
	if choices == nil {
		choices = []choice{}
	}
	object := "text_completion"
	if g.chat {
		object = "chat.completion.chunk"
	}
	chunk, _ := json.Marshal(g.completion(ex, object, choices, usage)) // plain fields only: can't fail
	out = append(out, "data: "...)
	out = append(out, chunk...)
	return append(out, "\n\n"...)
}

func (g *generation) completion(ex *exchange, object string, choices []choice, usage *usageBody) completion {
	return completion{
		ID: ex.id, Object: object, Created: ex.started.Unix(), Model: g.model.Name, Choices: choices, Usage: usage,
	}
}

func (g *generation) object() string {
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

// settle completes the usage: the engine's count of the prompt, and the tokens
// that were relayed, over all attempts.
func (g *generation) settle(prompt upstream.Usage, estimate int) {
	g.usage = prompt
	if g.usage.PromptTokens == 0 {
		g.usage.PromptTokens = estimate
	}
	g.usage.CompletionTokens = len(g.tokens)
}
