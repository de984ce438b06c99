package answers_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"lovagelane/answers"
)

const bufferSize = 256

// await checks the first answer in text, read whole and byte by byte, and returns what is left to read then.
func await(t *testing.T, text string) (string, error) {
	t.Helper()
	whole, single := strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))
	r := bufio.NewReaderSize(whole, bufferSize)
	err := answers.Await(r)
	rest, readErr := io.ReadAll(r)
	require.NoError(t, readErr)
	require.Equal(t, err, answers.Await(bufio.NewReaderSize(single, bufferSize)), "read byte by byte")
	return string(rest), err
}

// Guards against a head that is changed or lost by its check, and against an interim answer that is taken for the final one.
func TestFinalAnswersAreLeftUnread(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nwhole"
	for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n"} {
		rest, err := await(t, interim+final)
		require.NoError(t, err)
		require.Equal(t, final, rest)
	}
}

// Guards against a status line that HTTP doesn't have, and against a wait for the rest of an answer that can't be valid any more.
func TestInvalidStatusLineIsMalformed(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20",
		"HTTP/1.1 +20 OK", "HTTP/1.1 2_0 OK", "HTTP/1.1", "HTTP/1.1 ", "\x00\xff",
		"HTTP/1.7 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", "200 OK", " HTTP/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x00K",
		"HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK",
	} {
		var malformed answers.MalformedError
		_, err := await(t, line+"\r\n")
		require.ErrorAs(t, err, &malformed, line)
	}
}

// Guards against field names that parsers read in different ways, and against line ends that some of them miss.
func TestInvalidFieldIsMalformed(t *testing.T) {
	for _, line := range []string{
		"X A: 1", "X-A : 1", " X-A: 1", "\tX-A: 1", "X\x00A: 1", "X\x7fA: 1", "X\rA: 1", "\rX-A: 1", "X\x80A: 1", "X(A: 1", ": 1", ":", "X-A",
		"X-A: \x00", "X-A: 1\r2", "X-A: 1\n", "\n", "\r",
	} {
		for _, start := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n", "HTTP/1.1 200 OK\r\nX-B: 2\r\n"} {
			var malformed answers.MalformedError
			_, err := await(t, start+line+"\r\n")
			require.ErrorAs(t, err, &malformed, "%q", start+line)
		}
	}
}

// Guards against a byte that a field name may not hold and that one place of a name lets through: each blank, control byte and
// separator, and each byte beyond ASCII.
func TestNoOtherByteThanThoseOfATokenIsValidInAFieldName(t *testing.T) {
	const separators = "\"(),/:;<=>?@[\\]{}"
	for b := range 256 {
		c := string([]byte{byte(b)})
		if b > ' ' && b < 0x7f && !strings.Contains(separators, c) {
			continue
		}
		for _, name := range []string{c + "X-A", "X-" + c + "A", "X-A" + c, c, c + "Content-Length", "Content" + c + "Length", "Content-Length" + c} {
			if c == ":" && name[0] != ':' {
				continue // The colon ends a valid name.
			}
			head := "HTTP/1.1 200 OK\r\n" + name + ": 5\r\n\r\n"
			var malformed answers.MalformedError
			_, err := await(t, head)
			require.ErrorAs(t, err, &malformed, "%q", head)
		}
	}
}

// Guards against a status that HTTP doesn't have, among all of three digits.
func TestOnlyStatusesOfHTTPAreValid(t *testing.T) {
	for status := range 1000 {
		_, err := await(t, fmt.Sprintf("HTTP/1.1 %03d OK\r\n\r\n", status))
		var malformed answers.MalformedError
		switch {
		case status >= 200 && status <= 599:
			require.NoError(t, err)
		case status >= 100 && status < 200 && status != 101:
			require.ErrorIs(t, err, io.EOF) // An interim answer, without a final one behind it.
		default:
			require.ErrorAs(t, err, &malformed, status)
		}
	}
}

// Guards against a body that ends where the connection does, although it has chunks.
func TestTransferCodingOfHTTP10IsMalformed(t *testing.T) {
	var malformed answers.MalformedError
	_, err := await(t, "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
	require.ErrorAs(t, err, &malformed)
	_, err = await(t, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
	require.NoError(t, err)
}

// Guards against a part of a cookie or a body in an error that is logged.
func TestErrorsQuoteNothing(t *testing.T) {
	for _, line := range []string{"Set-Cookie: secret\n", "secret", "Set-Cookie: secret\x00", "Set-Cookie : secret", " secret: 1", "secret\x00: 1"} {
		_, err := await(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n")
		require.Error(t, err)
		require.NotContains(t, err.Error(), "secret")
	}
	for _, line := range []string{"secret", "secret secret", "HTTP/1.1 secret", "HTTP/1.1 200 secret\x00", "HTTP/1.1 200 secret\n"} {
		_, err := await(t, line+"\r\n")
		require.Error(t, err)
		require.NotContains(t, err.Error(), "secret")
	}
}

// Guards against a head that broke off and is taken as a whole one.
func TestHeadsThatBreakOffAreNotAnswers(t *testing.T) {
	_, err := await(t, "")
	require.Equal(t, io.EOF, err)
	const head = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n"
	for size := 1; size < len(head); size++ {
		if head[:size] == "HTTP/1.1 103 Early Hints\r\n\r\n" {
			continue // The final answer has not begun.
		}
		_, err := await(t, head[:size])
		require.Equal(t, io.ErrUnexpectedEOF, err, "%q", head[:size])
	}
	broken := errors.New("reset")
	err = answers.Await(bufio.NewReader(io.MultiReader(strings.NewReader(head[:40]), iotest.ErrReader(broken))))
	require.Equal(t, broken, err)
}

// Guards against heads, or interim answers, without end.
func TestHeadsWithoutEndAreMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"line":            "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", bufferSize),
		"lines":           "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: 1\r\n", bufferSize),
		"empty lines":     strings.Repeat("\r\n", bufferSize),
		"interim answers": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 200),
	} {
		var malformed answers.MalformedError
		_, err := await(t, text)
		require.ErrorAs(t, err, &malformed, name)
	}
}
