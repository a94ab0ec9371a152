// Stands for the number formats of hdr-histogram-js. The package's own build an Intl.NumberFormat when they are loaded, which
// took 34 of the 165 ms that the bundle took to load in a profile and serves only printed tables.
"use strict";

const integerFormatter = width => value => String(value).padStart(width);
const floatFormatter = (width, fractionDigits) => value => value.toFixed(fractionDigits).padStart(width);
const keepSignificantDigits = digits => value => {
    const extraDigits = Math.floor(Math.log10(value) + 1) - digits;
    return extraDigits > 0 ? value - (value % 10 ** extraDigits) : value;
};

module.exports = { integerFormatter, floatFormatter, keepSignificantDigits };
