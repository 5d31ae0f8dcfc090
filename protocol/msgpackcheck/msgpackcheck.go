// Package msgpackcheck decodes msgpack of other processes. The codec allocates as many elements as a message declares,
// whatever its length, so the counts are checked before it runs.
package msgpackcheck

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

const (
	// maxDepth bounds how deep arrays and maps are nested.
	maxDepth = 64
	// maxElements bounds the elements of one array or map.
	maxElements = 1 << 16
)

// Unmarshal decodes the content after Check.
func Unmarshal(content []byte, value any) error {
	if err := Check(content); err != nil {
		return err
	}
	return msgpack.Unmarshal(content, value)
}

// Check returns an error of kind BadFrame if a length or count in the content is over a limit or more than its bytes
// can hold. It allocates nothing.
func Check(content []byte) error {
	// left holds the number of values that each open array or map still has.
	var left [maxDepth + 1]int
	left[0] = 1
	for depth := 0; depth >= 0; {
		if left[depth] == 0 {
			depth--
			continue
		}
		left[depth]--
		if len(content) == 0 {
			return errkind.New(errkind.BadFrame, "decode message: it is truncated")
		}
		code := content[0]
		size, count := measure(content)
		if size > len(content) {
			return errkind.New(errkind.BadFrame, "decode message: a value of %d bytes has only %d", size, len(content))
		}
		content = content[size:]
		if !isContainer(code) {
			continue
		}
		if count > maxElements || count > len(content) {
			return errkind.New(errkind.BadFrame, "decode message: %d elements are declared for %d bytes, and %d are allowed", count, len(content), maxElements)
		}
		if depth++; depth > maxDepth {
			return errkind.New(errkind.BadFrame, "decode message: values are nested more than %d deep", maxDepth)
		}
		left[depth] = count
	}
	return nil
}

func isContainer(code byte) bool {
	switch code {
	case msgpcode.Array16, msgpcode.Array32, msgpcode.Map16, msgpcode.Map32:
		return true
	}
	return msgpcode.IsFixedArray(code) || msgpcode.IsFixedMap(code)
}

// headerSizes has the bytes of the length that follows a code.
var headerSizes = byCode(map[byte]int{
	msgpcode.Str8: 1, msgpcode.Str16: 2, msgpcode.Str32: 4, msgpcode.Bin8: 1, msgpcode.Bin16: 2, msgpcode.Bin32: 4,
	msgpcode.Ext8: 1, msgpcode.Ext16: 2, msgpcode.Ext32: 4,
	msgpcode.Array16: 2, msgpcode.Array32: 4, msgpcode.Map16: 2, msgpcode.Map32: 4,
})

// fixedSizes has the bytes that follow a code of a value of fixed size.
var fixedSizes = byCode(map[byte]int{
	msgpcode.Uint8: 1, msgpcode.Int8: 1, msgpcode.Uint16: 2, msgpcode.Int16: 2, msgpcode.Uint32: 4, msgpcode.Int32: 4, msgpcode.Float: 4,
	msgpcode.Uint64: 8, msgpcode.Int64: 8, msgpcode.Double: 8,
	msgpcode.FixExt1: 2, msgpcode.FixExt2: 3, msgpcode.FixExt4: 5, msgpcode.FixExt8: 9, msgpcode.FixExt16: 17,
})

// byCode returns the sizes in an array, which is faster than a map.
func byCode(sizes map[byte]int) (array [256]int) {
	for code, size := range sizes {
		array[code] = size
	}
	return array
}

// measure returns the bytes of the first value, or of the header of an array or map, and the number of values in it.
func measure(content []byte) (size, count int) {
	code := content[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return 1, 0
	case msgpcode.IsFixedArray(code):
		return 1, int(code & msgpcode.FixedArrayMask)
	case msgpcode.IsFixedMap(code):
		return 1, 2 * int(code&msgpcode.FixedMapMask)
	case msgpcode.IsFixedString(code):
		return 1 + int(code&msgpcode.FixedStrMask), 0
	}
	if bytes := fixedSizes[code]; bytes > 0 {
		return 1 + bytes, 0
	}
	header := headerSizes[code]
	if header == 0 || len(content) <= header {
		return 1 + header, 0
	}
	length := bigEndian(content[1 : 1+header])
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return 1 + header, length
	case msgpcode.Map16, msgpcode.Map32:
		return 1 + header, 2 * length
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return 2 + header + length, 0 // the type of the extension is a byte
	}
	return 1 + header + length, 0
}

// bigEndian returns the number in one, two or four bytes.
func bigEndian(content []byte) int {
	var number [4]byte
	copy(number[len(number)-len(content):], content)
	return int(binary.BigEndian.Uint32(number[:]))
}
