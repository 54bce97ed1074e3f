package member

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	sizes := map[uint32]int16{oidInt4: 4, oidInt8: 8}
	for i, c := range columns {
		size, ok := sizes[c.oid]
		if !ok {
			size = -1
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: formatCode(formats, i),
		})
	}
	return d
}

// formatCode returns the format of item i. No codes means text for all items; a
// single code applies to all items.
func formatCode(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return pgproto3.TextFormat
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	default:
		return pgproto3.TextFormat
	}
}

// decodeParameter converts a parameter to text. Among the supported types only
// integers have a different binary form.
func decodeParameter(raw []byte, oid uint32, f int16) string {
	if f == pgproto3.BinaryFormat && oid != oidText {
		switch len(raw) {
		case 4:
			return strconv.Itoa(int(int32(binary.BigEndian.Uint32(raw))))
		case 8:
			return strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10)
		}
	}
	return string(raw)
}

func encodeCell(text string, oid uint32, f int16) []byte {
	number, err := strconv.ParseInt(text, 10, 64)
	switch {
	case f != pgproto3.BinaryFormat || oid == oidText || err != nil:
		return []byte(text)
	case oid == oidInt4:
		return binary.BigEndian.AppendUint32(nil, uint32(number))
	default:
		return binary.BigEndian.AppendUint64(nil, uint64(number))
	}
}
