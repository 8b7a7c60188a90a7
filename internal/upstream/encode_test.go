package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"basaltdrum/internal/http1"
)

// The forwarded deadline is never rounded up.
func TestForwardedDeadlineIsNotRoundedUp(t *testing.T) {
	for _, remaining := range []time.Duration{
		time.Millisecond, 1999 * time.Microsecond, 480 * time.Millisecond,
		999999 * time.Microsecond, time.Second, 9999999999, 99999999999, 12345678901, time.Hour,
	} {
		t.Run(remaining.String(), func(t *testing.T) {
			value := []byte(strings.Repeat("0", deadlineValueWidth))
			if !writeDeadlineValue(value, remaining) {
				t.Error("writeDeadlineValue returned false, want true")
			}
			seconds, err := strconv.ParseFloat(string(value), 64)
			if lost := remaining.Seconds() - seconds; err != nil || lost < 0 || lost > 0.0010001 {
				t.Errorf("%v is forwarded as %q, want the same or less by at most 1 ms", remaining, value)
			}
		})
	}
}

// A long body is forwarded unchanged behind the head of its request, and the attempt holds no copy of it. Copies of
// bodies took the node over its memory limit, and it was killed.
func TestLongBodyIsForwardedWithoutACopy(t *testing.T) {
	for _, length := range []int{0, 1, maxCopiedBody, maxCopiedBody + 1, http1.MaxBodyBytes} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			request := &Request{
				ID: "id", Method: http.MethodPost, Target: "/note/k?q=1", IdempotencyKey: "key",
				ContentType: "text/plain", Body: bytes.Repeat([]byte("x"), length),
			}
			encoded := encodeRequest(request)
			if copied := cap(encoded.text); copied > 2*headSizeHint+maxCopiedBody {
				t.Errorf("the encoded request takes %d bytes for a body of %d", copied, length)
			}
			var written bytes.Buffer
			if complete, err := encoded.writeTo(&written); !complete || err != nil {
				t.Fatalf("got complete %v, error %v; want true and none", complete, err)
			}
			got, err := http.ReadRequest(bufio.NewReader(&written))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(got.Body)
			if err != nil || !bytes.Equal(body, request.Body) || got.ContentLength != int64(length) {
				t.Errorf("got a body of %d bytes, error %v; want the request's", len(body), err)
			}
			head := [...]string{
				got.Method, got.RequestURI, got.Host, got.Header.Get("X-Request-Id"), got.Header.Get("Idempotency-Key"),
				got.Header.Get("Content-Type"),
			}
			if want := [...]string{"POST", "/note/k?q=1", upstreamHost, "id", "key", "text/plain"}; head != want {
				t.Errorf("got %q, want %q", head, want)
			}
		})
	}
}

// A deadline that has passed, or is about to, is not forwarded.
func TestPassedDeadlineIsNotForwarded(t *testing.T) {
	pool := newTestPool(1)
	for _, left := range []time.Duration{-time.Second, 0, minRemainingTime / 2} {
		t.Run(left.String(), func(t *testing.T) {
			a := newTestAttempt(t, pool, "127.0.0.1:1")
			a.Deadline = pool.clock.Now() + left
			if remaining := a.remainingTime(pool.clock.Now()); remaining != 0 || writeDeadlineValue(nil, remaining) {
				t.Errorf("a remaining time of %v is forwarded, want none", remaining)
			}
		})
	}
}
