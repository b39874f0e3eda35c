package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	defaultMaxTokens = 256 // if the request doesn't set max_tokens
	// fingerprintBytes is long enough that two requests practically never share
	// a fingerprint, so that none is refused for the crashes of another or gets
	// the response to another.
	fingerprintBytes = 16
)

type (
	// generation is a request to the model API.
	generation struct {
		chat         bool
		stream       bool
		includeUsage bool
		model        *fleet.Model
		outgoing     upstream.Generation // the request to the upstream
		fingerprint  string
		tokens       []string // received so far, over all attempts
		usage        upstream.Usage

		eventPrefix, eventSuffix []byte // encoded event of a token, without the token
		eventBuffer              []byte // reused for encoding
	}

	// options are the fields that both kinds of completion request share.
	// Unknown fields are ignored, since client libraries send many. The type's
	// name is part of the errors of encoding/json; decode removes it.
	options struct {
		Model         string         `json:"model"`
		MaxTokens     *int           `json:"max_tokens"`
		Stream        bool           `json:"stream"`
		StreamOptions *streamOptions `json:"stream_options"`
		Seed          int64          `json:"seed"`
		N             *int           `json:"n"`
	}

	streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}

	chatRequest struct {
		options
		Messages            []message `json:"messages"`
		MaxCompletionTokens *int      `json:"max_completion_tokens"`
	}

	message struct {
		Role    string  `json:"role"`
		Content content `json:"content"`
	}

	// content is the text of a message, sent as a string or a list of parts.
	content string

	contentPart struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}

	completionRequest struct {
		options
		Prompt prompt `json:"prompt"`
	}

	// prompt is sent as a string or a list with one string.
	prompt string
)

// UnmarshalJSON accepts a string or a list of text parts, which it joins.
func (c *content) UnmarshalJSON(data []byte) (err error) {
	if string(data) == "null" {
		return nil
	}
	var parts []contentPart
	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part of type %q: only text is supported", part.Type)
		}
		text.WriteString(part.Text)
	}
	*c = content(text.String())
	return nil
}

// UnmarshalJSON accepts a string or a list with one string.
func (p *prompt) UnmarshalJSON(data []byte) (err error) {
	var list []string
	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*string)(p))
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	if len(list) != 1 {
		return fmt.Errorf("prompt has %d entries: send one prompt per request", len(list))
	}
	*p = prompt(list[0])
	return nil
}

func (s *Server) parseChat(ex *exchange) (w work, refused *Refusal) {
	var request chatRequest
	if refused := decode(ex.body, &request); refused != nil {
		return nil, refused
	}
	if len(request.Messages) == 0 {
		return nil, badField("messages", "messages is empty: send at least one message")
	}
	var text strings.Builder
	for i, m := range request.Messages {
		if m.Role == "" {
			return nil, badField(fmt.Sprintf("messages[%d].role", i), "the message has no role")
		}
		text.WriteString("<|" + m.Role + "|>\n" + string(m.Content) + "\n")
	}
	text.WriteString("<|assistant|>\n")
	if request.MaxCompletionTokens != nil {
		request.MaxTokens = request.MaxCompletionTokens
	}
	g, refused := s.newGeneration(ex, request.options, text.String())
	if refused != nil {
		return nil, refused
	}
	g.chat = true
	return g, nil
}

func (s *Server) parseCompletion(ex *exchange) (w work, refused *Refusal) {
	var request completionRequest
	if refused := decode(ex.body, &request); refused != nil {
		return nil, refused
	}
	if request.Prompt == "" {
		return nil, badField("prompt", "prompt is empty")
	}
	g, refused := s.newGeneration(ex, request.options, string(request.Prompt))
	if refused != nil {
		return nil, refused
	}
	return g, nil
}

func (s *Server) newGeneration(ex *exchange, o options, text string) (g *generation, refused *Refusal) {
	model, ok := ex.snapshot.ModelFor(ex.workspace, o.Model)
	if !ok {
		r := notRun(upstream.ReasonNotFound, fmt.Sprintf("the workspace has no model %q; GET %s lists them", o.Model, pathModels))
		r.Parameter = "model"
		return nil, r
	}
	if o.N != nil && *o.N != 1 {
		return nil, badField("n", fmt.Sprintf("n is %d: only 1 is supported", *o.N))
	}
	maxTokens := defaultMaxTokens
	if o.MaxTokens != nil {
		maxTokens = *o.MaxTokens
	}
	if maxTokens < 1 || maxTokens > s.options.MaxTokensLimit {
		return nil, badField("max_tokens", fmt.Sprintf("max_tokens is %d: want 1 to %d", maxTokens, s.options.MaxTokensLimit))
	}
	g = &generation{
		stream: o.Stream, includeUsage: o.StreamOptions != nil && o.StreamOptions.IncludeUsage, model: model,
		outgoing: upstream.Generation{
			Model: model.Name, Workspace: ex.workspaceName(), Prompt: text, MaxTokens: maxTokens, Seed: o.Seed, Prefix: policy.Prefix(text),
		},
	}
	g.fingerprint = fingerprint(ex.workspaceName(), model.Name, text)
	return g, nil
}

// fingerprint returns a hash of the parts, which is the same whenever and
// wherever the same request is sent. It identifies requests in crash counts and
// claims.
func fingerprint(parts ...string) (text string) {
	digest := sha256.New()
	for _, part := range parts {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// decode unmarshals a JSON body. The refusal names the invalid field, if known.
func decode(body []byte, into any) (refused *Refusal) {
	err := json.Unmarshal(body, into)
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrongType):
		field := strings.TrimPrefix(wrongType.Field, "options.") // fields of the embedded struct are reported with its name
		return badField(field, fmt.Sprintf("%s is a %s: want %s", field, wrongType.Value, wrongType.Type.Kind()))
	case errors.As(err, &syntax):
		return badField("", fmt.Sprintf("the body isn't valid JSON at byte %d: %v", syntax.Offset, err))
	default:
		return badField("", "the body can't be read: "+err.Error())
	}
}
