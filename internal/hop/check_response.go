package hop

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// errInvalidHead is returned if the head of a response breaks HTTP's syntax: what follows
// can't be told from a body, and fields that frame it may have been missed.
var errInvalidHead = errors.New("the head of the answer is invalid")

// checkHead returns an error for what net/http accepts of a response's head and RFC 9110
// (sections 5.1 and 15) doesn't: statuses that are none, and blanks in names of fields.
func checkHead(response *http.Response) error {
	if response.StatusCode < 100 || response.StatusCode > 599 {
		return fmt.Errorf("%w: status %.20q", errInvalidHead, response.Status)
	}
	for name := range response.Header {
		if name == "" || strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %.40q", errInvalidHead, name)
		}
	}
	return nil
}
