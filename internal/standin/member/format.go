package member

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

func describe(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	sizes := map[uint32]int16{oidInt4: 4, oidInt8: 8}
	for i, c := range columns {
		size, ok := sizes[c.oid]
		if !ok {
			size = -1
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: format(formats, i),
		})
	}
	return d
}

// format picks the format of item i: none given means text, one holds for all.
func format(codes []int16, i int) int16 {
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

// decode turns a parameter into text. Only integers differ in binary.
func decode(raw []byte, oid uint32, f int16) string {
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

func encode(text string, oid uint32, f int16) []byte {
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
