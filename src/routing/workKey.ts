/**
 * Makes the key of a work item. It ends with the customer, if the configuration names several, because gateways of an
 * older version refuse messages with further fields.
 *
 * @param prefix unique among all gateways
 *
 * @example
 * makeWorkKey("10.0.0.2:7340/1a", 7, 3735928559); // "10.0.0.2:7340/1a/7#3735928559"
 */
export function makeWorkKey(prefix: string, number: number, customer: number | undefined): string {
    return customer === undefined ? `${prefix}/${number}` : `${prefix}/${number}#${customer}`;
}

/**
 * Finds the customer in a key.
 *
 * @example
 * findCustomer("10.0.0.2:7340/1a/7#3735928559"); // 3735928559
 */
export function findCustomer(key: string): number | undefined {
    const found = /#(\d{1,10})\??$/u.exec(key)?.[1];
    return found === undefined ? undefined : Number(found);
}
