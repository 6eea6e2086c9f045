package topology

import "strconv"

// PromptPart identifies a part of prompts that requests share. The last part of a
// prompt belongs to the request itself or to its session.
type PromptPart uint64

// String returns the identifier in hexadecimal.
func (p PromptPart) String() string {
	return strconv.FormatUint(uint64(p), 16)
}
