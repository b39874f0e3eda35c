package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // nil if the answer is whole
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	whole := "whole"
	if a.err != nil {
		whole = fmt.Sprintf("broken off (%v)", a.err)
	}
	return fmt.Sprintf("%d, seal %q, Retry-After %q, %d bytes, %s", a.status, a.header.Get("Response-Seal"), a.header.Get("Retry-After"), len(a.body), whole)
}

// dial opens a client's connection.
func dial(address string) (c net.Conn, err error) {
	return net.DialTimeout("tcp4", address, time.Second)
}

// send sends a request on a new connection and reads the answer.
func send(address, method, host, path, id, key string, deadline time.Duration, headers, body string) (a answer) {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(deadline + time.Second))
	return exchange(c, bufio.NewReader(c), method, host, path, id, key, deadline, headers, body)
}

// exchange sends a request on a connection and reads the answer.
func exchange(c net.Conn, reader *bufio.Reader, method, host, path, id, key string, deadline time.Duration, headers, body string) (a answer) {
	auth := ""
	if key != "" {
		auth = "Authorization: Token " + key + "\r\n"
	}
	length := ""
	if method != http.MethodGet || body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s%s%s\r\n%s", method, path, host, id, deadline.Milliseconds(), auth, headers, length, body)
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(reader, method)
}

func readAnswer(reader *bufio.Reader, method string) (a answer) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	return a
}
