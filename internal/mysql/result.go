package mysql

import (
	"bytes"
	"encoding/binary"

	"beechcart/internal/exchange"
)

// columnCount is the number of columns of every result, all of them text.
const columnCount = exchange.ColumnCount

// maxColumnBytes is the greatest size of a value that a column's definition declares.
const maxColumnBytes = 1<<16 - 1

// resultHead is what precedes the rows of every result: the number of columns, their definitions and an EOF packet.
// Its packets are numbered from 1, like those of every answer to a command. rowSequence is the number of the packet
// after it.
var resultHead, rowSequence = encodeResultHead()

func encodeResultHead() ([]byte, byte) {
	sequence := byte(1)
	b := appendPacket(nil, &sequence, func(b []byte) []byte { return append(b, columnCount) })
	for i := range columnCount {
		b = appendPacket(b, &sequence, func(b []byte) []byte { return appendColumn(b, string(rune('a'+i))) })
	}
	return appendEOF(b, &sequence), sequence
}

// appendColumn appends a ColumnDefinition41.
func appendColumn(b []byte, name string) []byte {
	b = appendString(b, "def")    // catalogue
	b = appendString(b, database) // schema
	b = appendString(b, "")       // table
	b = appendString(b, "")       // original table
	b = appendString(b, name)
	b = appendString(b, name)       // original name
	b = append(b, 0x0c, charset, 0) // length of the fixed fields, character set
	b = binary.LittleEndian.AppendUint32(b, maxColumnBytes)
	return append(b, typeVarString, 0, 0, 0, 0, 0) // type, flags, decimals, filler
}

// eofSize is the size of an EOF packet.
const eofSize = headerSize + 5

// resultSize is the size of an encoded result; false where rows are not whole rows (exchange.CheckRows).
func resultSize(rows []byte) (int, bool) {
	size := len(resultHead) + eofSize
	for len(rows) > 0 {
		end := bytes.IndexByte(rows, '\n')
		if end < 0 {
			return 0, false
		}
		n, ok := rowSize(rows[:end])
		if !ok {
			return 0, false
		}
		size += headerSize + n
		rows = rows[end+1:]
	}
	return size, true
}

// rowSize is the size of an encoded row without its header; false where it has another number of columns.
func rowSize(row []byte) (size int, ok bool) {
	for i := range columnCount {
		cell := bytes.IndexByte(row, '\t')
		if last := i == columnCount-1; last != (cell < 0) {
			return 0, false
		}
		if cell < 0 {
			cell = len(row)
		}
		size += lengthSize(cell) + cell
		row = row[min(cell+1, len(row)):]
	}
	return size, true
}

// appendResult appends an encoded result; resultSize must have accepted the rows. This is the one copy of the rows on
// the client's side: each cell gets its length in front, so the rows can't be written as they came from the engine.
func appendResult(b []byte, sequence *byte, rows []byte) []byte {
	b = append(b, resultHead...)
	*sequence = rowSequence
	for len(rows) > 0 {
		end := bytes.IndexByte(rows, '\n')
		b = appendRow(b, sequence, rows[:end])
		rows = rows[end+1:]
	}
	return appendEOF(b, sequence)
}

func appendRow(b []byte, sequence *byte, row []byte) []byte {
	at := len(b)
	b = appendHeader(b, sequence)
	for i := range columnCount {
		cell := len(row)
		if i < columnCount-1 {
			cell = bytes.IndexByte(row, '\t')
		}
		b = append(appendLength(b, cell), row[:cell]...)
		row = row[min(cell+1, len(row)):]
	}
	setPacketSize(b, at)
	return b
}
