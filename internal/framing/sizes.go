package framing

import (
	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
)

const (
	// maxElements bounds the elements of one array or map in a body. A whole table of a
	// fleet has some ten thousand.
	maxElements = 1 << 17
	// maxDepth bounds how deeply arrays and maps are nested.
	maxDepth = 64
)

// Errors of a body that isn't decoded.
var (
	ErrTooManyElements = errors.New("framing: array or map exceeds the limit or the body")
	ErrTooDeep         = errors.New("framing: arrays and maps are nested too deeply")
)

// checkSizes checks the sizes that a body states for its arrays and maps. Decoding allocates
// an array by its stated size, so that without the check a few bytes could exhaust the
// process's memory.
func checkSizes(body []byte) error {
	for len(body) > 0 {
		var err error
		if body, err = skipValue(body, maxDepth); err != nil {
			return err
		}
	}
	return nil
}

// skipValue returns what follows the first value.
func skipValue(b []byte, depth int) ([]byte, error) {
	var elements uint32
	var err error
	perElement := uint32(1)
	switch msgp.NextType(b) {
	case msgp.ArrayType:
		elements, b, err = msgp.ReadArrayHeaderBytes(b)
	case msgp.MapType:
		elements, b, err = msgp.ReadMapHeaderBytes(b)
		perElement = 2
	default:
		return msgp.Skip(b)
	}
	switch {
	case err != nil:
		return b, err
	case depth == 0:
		return b, ErrTooDeep
	case elements > maxElements || uint64(elements)*uint64(perElement) > uint64(len(b)):
		return b, errors.Wrapf(ErrTooManyElements, "%d", elements)
	}
	for range elements * perElement {
		if b, err = skipValue(b, depth-1); err != nil {
			return b, err
		}
	}
	return b, nil
}
