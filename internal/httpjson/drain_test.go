package httpjson_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/httpjson"
)

// slowListener returns connections some time after it has accepted them, as happens if the
// accepting goroutine gets no processor time.
type slowListener struct {
	net.Listener
	delay    time.Duration
	accepted chan struct{} // receives a value when a connection is accepted
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		time.Sleep(l.delay)
	}
	return c, err
}

// Guards against a call that a planned stop cuts: a connection that was accepted as the drain
// began was closed without an answer.
func TestDrainServesConnectionsAcceptedJustBefore(t *testing.T) {
	var lc net.ListenConfig
	inner, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := slowListener{inner, 100 * time.Millisecond, make(chan struct{}, 1)}
	srv := httpjson.NewDrainingServer(&http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, "served") }),
		ReadHeaderTimeout: time.Second,
	}, l)
	served := make(chan error, 1)
	go func() { served <- srv.Serve() }()
	answer := make(chan error, 1)
	go func() {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+inner.Addr().String(), http.NoBody)
		if err != nil {
			answer <- err
			return
		}
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close() // the whole body has been read
		}
		answer <- err
	}()
	<-l.accepted
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drainErr := srv.Drain(ctx)
	assert.NilError(t, <-answer)
	assert.NilError(t, drainErr)
	assert.NilError(t, <-served)
}

func TestDrainOfAServerThatNeverServed(t *testing.T) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := httpjson.NewDrainingServer(&http.Server{ReadHeaderTimeout: time.Second}, l)
	assert.NilError(t, srv.Drain(context.Background()))
}
