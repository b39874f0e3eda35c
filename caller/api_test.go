package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sebdah/goldie/v2"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/upstream"
)

// scriptedEngine generates the same tokens for each prompt, some of which need
// escaping in JSON. It rejects the prompt "bad" at once and the prompt
// "bad later" after two tokens.
type scriptedEngine struct{}

func (scriptedEngine) Generate(_ context.Context, g upstream.Generation, emit func(upstream.Token) error) (usage upstream.Usage, err error) {
	rejected := &upstream.Failure{Reason: upstream.ReasonRejected, Progress: upstream.NotWritten, Detail: "not this prompt"}
	if g.Prompt == "bad" {
		return usage, rejected
	}
	tokens := []string{"Hel", "lo ", "\"<b>&", "\\\n\u2028", "wörld", "\xff", " end"}
	for offset := g.Offset; offset < min(g.MaxTokens, len(tokens)); offset++ {
		if g.Prompt == "bad later" && offset == 2 {
			rejected.Progress = upstream.Answered
			return usage, rejected
		}
		if err := emit(upstream.Token{Offset: offset, Text: tokens[offset]}); err != nil {
			return usage, err
		}
		synctest.Wait() // lets each token reach the caller before the next
	}
	return upstream.Usage{PromptTokens: 7}, nil
}

// Guards against accidental changes to responses of the OpenAI-style API, and
// against stream events that are encoded differently from json.Marshal, since
// appendToken encodes most of them itself.
func TestAPIResponsesMatchGolden(t *testing.T) {
	const completions, chat = "POST /v1/completions", "POST /v1/chat/completions"
	cases := []struct{ name, key, request, body string }{
		{"whole", benchKey, completions, `{"model":"m","prompt":"p"}`},
		{"whole, ended by max_tokens", benchKey, completions, `{"model":"m","prompt":["p"],"max_tokens":2}`},
		{"whole chat", benchKey, chat, `{"model":"m","messages":[{"role":"user","content":"p"}]}`},
		{"streamed", benchKey, completions, `{"model":"m","prompt":"p","stream":true}`},
		{"streamed with usage", benchKey, completions, `{"model":"m","prompt":"p","max_tokens":3,"stream":true,"stream_options":{"include_usage":true}}`},
		{"streamed chat", benchKey, chat, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"p"}]}],"stream":true}`},
		{"models", benchKey, "GET /v1/models", ""},
		{"no key", "", completions, `{"model":"m","prompt":"p"}`},
		{"max_tokens of 0", benchKey, completions, `{"model":"m","prompt":"p","max_tokens":0}`},
		{"unknown model", benchKey, chat, `{"model":"x","messages":[{"role":"user","content":"p"}]}`},
		{"rejected", benchKey, completions, `{"model":"m","prompt":"bad","stream":true}`},
		{"rejected after two tokens", benchKey, completions, `{"model":"m","prompt":"bad later","stream":true}`},
		{"over the rate limit", "slow-key", "GET /v1/models", ""},
	}
	synctest.Test(t, func(t *testing.T) {
		config := benchConfig(netip.MustParseAddrPort("10.0.0.2:80"))
		slow := fleet.Meta{Owner: "o", Name: "slow"}
		config.Workspaces = append(config.Workspaces, fleet.Workspace{Meta: slow, RequestsPerSecond: 0.2})
		config.Keys = append(config.Keys, fleet.Key{Meta: slow, Workspace: "slow", SHA256: fleet.HashKey("slow-key")})
		server := startCaller(t, nettest.New().Host("10.0.0.1"), netip.MustParseAddrPort("10.0.0.1:7000"), config, scriptedEngine{}, true, nil)
		var text bytes.Buffer
		for _, test := range cases {
			method, path, _ := strings.Cut(test.request, " ")
			var response *httptest.ResponseRecorder
			for range 1 + strings.Count(test.name, "rate") { // twice in the case that exceeds the rate limit
				r := httptest.NewRequest(method, path, strings.NewReader(test.body))
				r.Header.Set("Api-Key", test.key)
				response = httptest.NewRecorder()
				server.Handler().ServeHTTP(response, r)
			}
			fmt.Fprintf(&text, "## %s: %s\n%s\n\n%d\n", test.name, test.request, test.body, response.Code)
			response.Header().Write(&text)
			fmt.Fprintf(&text, "\n%s\n", response.Body)
		}
		ids := regexp.MustCompile(`req-[A-Z2-7]{26}`)
		goldie.New(t).Assert(t, "api", bytes.ReplaceAll(ids.ReplaceAll(text.Bytes(), []byte("req-ID")), []byte("\r"), nil))
	})
}
