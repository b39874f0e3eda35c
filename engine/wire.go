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

	// StreamEnd is the data of the last event of a stream.
	StreamEnd = "[DONE]"
)

type (
	// CompletionRequest is the body of a request to PathCompletions: the fields
	// of the OpenAI interface, and in Pascal case those that extend it.
	CompletionRequest struct {
		Model     string   `json:"model"`
		Prompt    string   `json:"prompt"`
		MaxTokens int      `json:"max_tokens,omitempty"`
		Seed      int64    `json:"seed"`
		Stream    bool     `json:"stream"`
		ID        string   // repeated as id in each event
		Offset    int      `json:",omitempty"`
		Given     []string `json:",omitempty"`
		Priority  int      `json:",omitempty"`
		Prefix    []uint64 `json:",omitempty"`
	}

	// CompletionEvent is one event of the stream. Each carries one token at
	// Offset, except the last, which has a finish reason and the usage and whose
	// Offset is the length of the answer. An event with Reason ends the stream
	// as failed.
	CompletionEvent struct {
		ID      string             `json:"id"`
		Choices []CompletionChoice `json:"choices"`
		Usage   *CompletionUsage   `json:"usage,omitempty"`
		Offset  int
		Reason  upstream.Reason `json:",omitempty"`
	}

	// CompletionChoice is the text of an event.
	CompletionChoice struct {
		Index        int    `json:"index"`
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason,omitempty"`
	}

	// CompletionUsage counts tokens in the form of the OpenAI interface.
	CompletionUsage struct {
		PromptTokens     int           `json:"prompt_tokens"`
		CompletionTokens int           `json:"completion_tokens"`
		Details          PromptDetails `json:"prompt_tokens_details"`
	}

	// PromptDetails says how much of the prompt came from the prefix cache.
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
)
