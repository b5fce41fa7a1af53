package httpjson_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/httpjson"
)

// Guards against an answer without a body or an object that counts as one in which nothing is set: a job whose relay
// may have stored it was refused, and a worker seemed to have no leases.
func TestMissingAnswerHasAnUnknownOutcome(t *testing.T) {
	type answer struct {
		Stored bool `json:"stored"`
	}
	body := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body)) // fails only if the caller has disconnected
	}))
	defer srv.Close()
	for _, body = range []string{"", "\n", "null", "[]", "no", `{"stored":tru`} {
		_, err := httpjson.Get[answer](context.Background(), srv.Client(), srv.URL)
		assert.ErrorIs(t, err, httpjson.ErrUnknownOutcome, "%q", body)
		_, err = httpjson.Post[answer, answer](context.Background(), srv.Client(), srv.URL, &answer{}, nil)
		assert.ErrorIs(t, err, httpjson.ErrUnknownOutcome, "%q", body)
	}
	body = ""
	_, err := httpjson.Call[answer, struct{}](context.Background(), srv.Client(), http.MethodPut, srv.URL, &answer{})
	assert.NilError(t, err, "an answer without fields needs no body")
	body = "\n" + `{"stored":true}`
	out, err := httpjson.Get[answer](context.Background(), srv.Client(), srv.URL)
	assert.NilError(t, err)
	assert.Assert(t, out.Stored)
}

// Guards against a list without entries, which Go encodes as null, that counts as no answer.
func TestNullIsAListWithoutEntries(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, []int(nil))
	}))
	defer srv.Close()
	list, err := httpjson.Get[[]int](context.Background(), srv.Client(), srv.URL)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
}
