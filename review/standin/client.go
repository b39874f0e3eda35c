package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

type (
	// Client is a stand-in for clients. Each attempt has a request ID of its own.
	Client struct {
		Host, Key string
		Record    *Record
		http      http.Client
		sent      atomic.Int64
	}

	// Answer is the outcome of one attempt. Status is 0 if the connection ended
	// without an answer.
	Answer struct {
		ID     string
		Status int
		Body   string
	}
)

// NewClient returns a client that opens a connection for each attempt.
func NewClient(host, key string, record *Record) *Client {
	return &Client{Host: host, Key: key, Record: record, http: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Send makes one attempt at a machine.
func (c *Client) Send(node *Node, kind, method, path, body string, deadline time.Duration) Answer {
	answer := Answer{ID: fmt.Sprintf("%s%08x", kind, c.sent.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.Front()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = c.Host
	request.Header.Set("Request-Id", answer.ID)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+c.Key)
	c.Record.Add("request %s sent to %s: %s %s", answer.ID, node.Name, method, path)
	response, err := c.http.Do(request)
	if err != nil {
		c.Record.Add("request %s got no answer: %v", answer.ID, err)
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.Record.Add("request %s: the answer %d broke off", answer.ID, response.StatusCode)
		return answer
	}
	answer.Status, answer.Body = response.StatusCode, string(text)
	c.Record.Add("request %s answered %d %s", answer.ID, answer.Status, strings.TrimSpace(answer.Body))
	return answer
}
