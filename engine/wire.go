package engine

import (
	"github.com/guavagauge/guavagauge/upstream"
)

// Paths of an engine's HTTP interface.
const (
	PathCompletions = "/v1/completions"
	PathReport      = "/engine/report"
	PathState       = "/engine/state"
	PathOrder       = "/engine/order"
	PathExport      = "/engine/kv/export"
	PathImport      = "/engine/kv/import"
	PathCacheEvents = "/engine/cache/events"

	// StreamEnd is the data of the event that ends a stream.
	StreamEnd = "[DONE]"
)

type (
	// CompletionRequest is the body of a request to PathCompletions. The fields in
	// Pascal case extend the OpenAI interface.
	CompletionRequest struct {
		Model     string   `json:"model"`
		Prompt    string   `json:"prompt"`
		MaxTokens int      `json:"max_tokens,omitempty"`
		Seed      int64    `json:"seed"`
		Stream    bool     `json:"stream"`
		ID        string   // repeated in each event as CompletionEvent.ID
		Offset    int      `json:",omitempty"`
		Given     []string `json:",omitempty"` // upstream.Generation.GeneratedTokens
		Priority  int      `json:",omitempty"`
		Prefix    []uint64 `json:",omitempty"` // upstream.Generation.Prefix
	}

	// CompletionEvent is one event of the stream. Each event holds the token at
	// Offset, except for the last one: it holds the finish reason and the usage,
	// and its Offset is the length of the completion. An event with a Reason ends
	// the stream with a failure.
	CompletionEvent struct {
		ID      string             `json:"id"`
		Choices []CompletionChoice `json:"choices"`
		Usage   *CompletionUsage   `json:"usage,omitempty"`
		Offset  int
		Reason  upstream.Reason `json:",omitempty"`
	}

	// CompletionChoice holds the token of an event.
	CompletionChoice struct {
		Index        int    `json:"index"`
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason,omitempty"`
	}

	// CompletionUsage is the token usage, as in the OpenAI interface.
	CompletionUsage struct {
		PromptTokens     int           `json:"prompt_tokens"`
		CompletionTokens int           `json:"completion_tokens"`
		Details          PromptDetails `json:"prompt_tokens_details"`
	}

	// PromptDetails holds the number of prompt tokens found in the prefix cache.
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
)
